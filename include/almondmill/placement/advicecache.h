#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/cachedlocation.h"
#include "almondmill/placement/stripedlocks.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondmill {

/// Caches the placement advice of prefix owners until it expires. Memory is bounded: an entry
/// is overwritten by a later one whose key falls on the same index. Thread-safe; a lock is held for
/// a few loads and stores only.
class AdviceCache
{
public:
    explicit AdviceCache(std::size_t entries);

    /// The location advised for the prefix; empty when there is no unexpired advice.
    std::optional<CachedLocation> find(std::uint64_t key, SteadyTime now) const;
    std::size_t stateBytes() const;

    void store(std::uint64_t key, const CachedLocation &location, SteadyTime expiresAt);

private:
    struct Entry
    {
        std::uint64_t key = 0;
        CachedLocation location;
        SteadyTime expiresAt = SteadyTime::min();
    };

    std::vector<Entry> m_entries;
    mutable StripedLocks m_locks;
};

} // namespace almondmill
