#include "almondmill/placement/advicecache.h"

#include <algorithm>

namespace almondmill {

AdviceCache::AdviceCache(std::size_t entries)
    : m_entries(std::max<std::size_t>(entries, 1))
{}

std::optional<Home> AdviceCache::find(std::uint64_t key, SteadyTime now) const
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    const Entry &entry = m_entries[index];
    if (entry.key != key || entry.until <= now)
        return std::nullopt;
    return entry.home;
}

std::size_t AdviceCache::stateBytes() const
{
    return m_entries.size() * sizeof(Entry) + sizeof(AdviceCache);
}

void AdviceCache::store(std::uint64_t key, const Home &home, SteadyTime until)
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    m_entries[index] = Entry{key, home, until};
}

} // namespace almondmill
