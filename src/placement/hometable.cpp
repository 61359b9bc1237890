#include "almondmill/placement/hometable.h"

#include <algorithm>

namespace almondmill {

HomeTable::HomeTable(std::size_t entries, std::chrono::milliseconds idle)
    : m_idle(idle)
    , m_groups(std::max<std::size_t>(entries / GroupSize, 1))
{}

bool HomeTable::fresh(const Entry &entry, SteadyTime now) const
{
    return entry.lastUsed != SteadyTime::min() && entry.lastUsed + m_idle > now;
}

HomeTable::Homes HomeTable::find(std::uint64_t key, SteadyTime now) const
{
    Homes homes;
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    for (const Entry &entry : m_groups[index]) {
        if (entry.key == key && fresh(entry, now))
            homes.items[homes.size++] = entry.home;
    }
    return homes;
}

std::size_t HomeTable::stateBytes() const
{
    return m_groups.size() * sizeof(Group) + sizeof(HomeTable);
}

void HomeTable::remember(std::uint64_t key, const Home &home, SteadyTime now)
{
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    Group &group = m_groups[index];
    const auto isSame = [&](const Entry &entry) { return entry.key == key && entry.home == home; };
    auto entry = std::find_if(group.begin(), group.end(), isSame);
    if (entry == group.end()) {
        entry = std::min_element(group.begin(), group.end(), [](const Entry &a, const Entry &b) {
            return a.lastUsed < b.lastUsed;
        });
    }
    *entry = Entry{key, home, now};
}

void HomeTable::forget(std::uint64_t key, const Home &home)
{
    const std::size_t index = key % m_groups.size();
    const std::lock_guard<std::mutex> lock(m_locks.of(index));
    for (Entry &entry : m_groups[index]) {
        if (entry.key == key && entry.home == home)
            entry = Entry{};
    }
}

} // namespace almondmill
