#include "almondmill/placement/cachedlocationtable.h"

#include <algorithm>

namespace almondmill {

CachedLocationTable::CachedLocationTable(std::size_t entries, std::chrono::milliseconds idleTimeout)
    : m_idleTimeout(idleTimeout)
    , m_groups(std::max<std::size_t>(entries / GroupSize, 1))
{}

bool CachedLocationTable::isRecent(const Entry &entry, SteadyTime now) const
{
    return entry.lastUsed != SteadyTime::min() && entry.lastUsed + m_idleTimeout > now;
}

CachedLocationTable::Locations CachedLocationTable::find(std::uint64_t key, SteadyTime now) const
{
    Locations locations;
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    for (const Entry &entry : m_groups[index]) {
        if (entry.key == key && isRecent(entry, now))
            locations.items[locations.size++] = entry.location;
    }
    return locations;
}

std::size_t CachedLocationTable::stateBytes() const
{
    return m_groups.size() * sizeof(Group) + sizeof(CachedLocationTable);
}

void CachedLocationTable::record(std::uint64_t key, const CachedLocation &location, SteadyTime now)
{
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    Group &group = m_groups[index];
    const auto isSame = [&](const Entry &entry) {
        return entry.key == key && entry.location == location;
    };
    auto entry = std::find_if(group.begin(), group.end(), isSame);
    if (entry == group.end()) {
        entry = std::min_element(group.begin(), group.end(), [](const Entry &a, const Entry &b) {
            return a.lastUsed < b.lastUsed;
        });
    }
    *entry = Entry{key, location, now};
}

void CachedLocationTable::remove(std::uint64_t key, const CachedLocation &location)
{
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    for (Entry &entry : m_groups[index]) {
        if (entry.key == key && entry.location == location)
            entry = Entry{};
    }
}

} // namespace almondmill
