#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/cachedlocation.h"
#include "almondmill/placement/stripedlocks.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace almondmill {

/// Records the endpoints to which prefixes were sent, and which are therefore expected to have them
/// cached. The number of entries is fixed; the least recently used entry of a group is replaced
/// first. An entry that was not used within the idle timeout is ignored, because engines
/// evict blocks that are not used. Thread-safe; a lock is held for a few loads and stores only.
class CachedLocationTable
{
public:
    /// Entries per group, and so the largest number of locations of one prefix.
    static constexpr std::size_t GroupSize = 8;

    struct Locations
    {
        std::array<CachedLocation, GroupSize> items;
        std::size_t size = 0;
    };

    CachedLocationTable(std::size_t entries, std::chrono::milliseconds idleTimeout);

    /// Locations of the prefix that were used within the idle timeout.
    Locations find(std::uint64_t key, SteadyTime now) const;

    /// Bytes of memory held; does not depend on the number of entries in use.
    std::size_t stateBytes() const;

    /// Adds the location, or updates the time of its last use.
    void record(std::uint64_t key, const CachedLocation &location, SteadyTime now);

    /// Removes one location of the prefix.
    void remove(std::uint64_t key, const CachedLocation &location);

private:
    struct Entry
    {
        std::uint64_t key = 0;
        CachedLocation location;
        SteadyTime lastUsed = SteadyTime::min();
    };

    using Group = std::array<Entry, GroupSize>;

    bool isRecent(const Entry &entry, SteadyTime now) const;

    std::chrono::milliseconds m_idleTimeout;
    std::vector<Group> m_groups;
    mutable StripedLocks m_locks;
};

} // namespace almondmill
