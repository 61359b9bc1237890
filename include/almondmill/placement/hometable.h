#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/home.h"
#include "almondmill/placement/stripedlocks.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace almondmill {

/// Where prefixes were sent: at most a fixed number of entries, the oldest of a group replaced
/// first. An entry that is not used for the idle time no longer counts, as in an engine's cache.
/// Safe to use from several threads; a lock is held for a few loads and stores only.
class HomeTable
{
public:
    /// Entries of one group; a prefix has at most so many homes.
    static constexpr std::size_t GroupSize = 8;

    struct Homes
    {
        std::array<Home, GroupSize> items;
        std::size_t size = 0;
    };

    HomeTable(std::size_t entries, std::chrono::milliseconds idle);

    /// Homes of the prefix that were used within the idle time.
    Homes find(std::uint64_t key, SteadyTime now) const;

    /// Bytes held, whatever the use.
    std::size_t stateBytes() const;

    /// Adds the home, or notes its use.
    void remember(std::uint64_t key, const Home &home, SteadyTime now);

    /// Drops one home of the prefix.
    void forget(std::uint64_t key, const Home &home);

private:
    struct Entry
    {
        std::uint64_t key = 0;
        Home home;
        SteadyTime lastUsed = SteadyTime::min();
    };

    using Group = std::array<Entry, GroupSize>;

    bool fresh(const Entry &entry, SteadyTime now) const;

    std::chrono::milliseconds m_idle;
    std::vector<Group> m_groups;
    mutable StripedLocks m_locks;
};

} // namespace almondmill
