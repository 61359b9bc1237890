#include "almondmill/fleet/rumourbuffer.h"

#include <algorithm>

namespace almondmill {

bool RumourBuffer::anySentFewerThan(unsigned sends) const
{
    return std::any_of(m_items.begin(), m_items.end(),
                       [sends](const Item &item) { return item.sends < sends; });
}

void RumourBuffer::add(std::uint64_t key)
{
    const auto found = std::find_if(m_items.begin(), m_items.end(),
                                    [key](const Item &item) { return item.key == key; });
    if (found == m_items.end())
        m_items.push_back({key, 0});
    else
        found->sends = 0;
}

std::vector<std::uint64_t> RumourBuffer::take(std::size_t maxCount, unsigned sendLimit)
{
    std::stable_sort(m_items.begin(), m_items.end(),
                     [](const Item &a, const Item &b) { return a.sends < b.sends; });
    std::vector<std::uint64_t> keys;
    for (std::size_t i = 0; i < std::min(maxCount, m_items.size()); ++i) {
        keys.push_back(m_items[i].key);
        ++m_items[i].sends;
    }
    std::erase_if(m_items, [sendLimit](const Item &item) { return item.sends >= sendLimit; });
    return keys;
}

} // namespace almondmill
