#include "almondmill/placement/cachedprefixes.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t MaxKeys = 32;

bool contains(const CachedLocationTable::Locations &locations, const CachedLocation &location)
{
    const auto end = locations.items.begin() + locations.size;
    return std::find(locations.items.begin(), end, location) != end;
}

} // namespace

CachedPrefixes::CachedPrefixes(const CachedLocationTable &table,
                               std::span<const std::uint64_t> keys, SteadyTime now)
{
    if (keys.empty())
        return;
    m_locations = table.find(keys.front(), now);
    for (std::size_t i = 0; i < m_locations.size; ++i) {
        m_blocks[i] = 1;
        m_filter |= std::uint64_t{1} << (m_locations.items[i].nameHash % 64);
    }
    const std::size_t depth = std::min(keys.size(), MaxKeys);
    bool anyCached = m_locations.size != 0;
    for (std::uint32_t cached = 1; anyCached && cached < depth; ++cached) {
        const CachedLocationTable::Locations next = table.find(keys[cached], now);
        anyCached = false;
        for (std::size_t i = 0; i < m_locations.size; ++i) {
            if (m_blocks[i] != cached || !contains(next, m_locations.items[i]))
                continue;
            m_blocks[i] = cached + 1;
            anyCached = true;
        }
    }
}

std::uint32_t CachedPrefixes::blocksOf(const CachedLocation &location) const
{
    for (std::size_t i = 0; i < m_locations.size; ++i) {
        if (m_locations.items[i] == location)
            return m_blocks[i];
    }
    return 0;
}

} // namespace almondmill
