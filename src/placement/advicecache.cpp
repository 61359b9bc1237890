#include "almondmill/placement/advicecache.h"

#include <algorithm>

namespace almondmill {

AdviceCache::AdviceCache(std::size_t entries)
    : m_entries(std::max<std::size_t>(entries, 1))
{}

std::optional<CachedLocation> AdviceCache::find(std::uint64_t key, SteadyTime now) const
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    const Entry &entry = m_entries[index];
    if (entry.key != key || entry.expiresAt <= now)
        return std::nullopt;
    return entry.location;
}

std::size_t AdviceCache::stateBytes() const
{
    return m_entries.size() * sizeof(Entry) + sizeof(AdviceCache);
}

void AdviceCache::store(std::uint64_t key, const CachedLocation &location, SteadyTime expiresAt)
{
    const std::size_t index = key % m_entries.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    m_entries[index] = Entry{key, location, expiresAt};
}

} // namespace almondmill
