#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/stripedlocks.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace almondmill {

/// Determines which level of nested prefixes this router's requests share. Memory is bounded.
/// Thread-safe; a lock is held for a few loads and stores only.
class SharedPrefixes
{
public:
    struct Level
    {
        std::size_t depth = 0; ///< Number of leading keys up to the level that requests share.
        bool shared = false;   ///< Seen before, or prefixes with the same parent recur.
    };

    explicit SharedPrefixes(std::size_t entries);

    /// Records one request's keys, outermost first, and returns the level of the request. The
    /// level is the first one below a prefix that has several recurring continuations. For
    /// example, the instructions that an account's requests have in common continue with different
    /// histories, and the history is the level. Levels below a prefix whose continuations are seen
    /// only once are not considered.
    Level record(std::span<const std::uint64_t> keys, SteadyTime now);

    std::size_t stateBytes() const;

private:
    struct Entry
    {
        std::uint64_t key = 0;
        SteadyTime lastSeen = SteadyTime::min();
        std::uint64_t lastChild = 0;
        float branching = 0;  ///< Moving mean: 1 when the next key is not `lastChild`.
        float recurrence = 0; ///< Moving mean: 1 when the next key was seen before.
    };

    bool recordFirstKey(bool seen);
    /// Records the key and the next deeper one. Returns the previous entry; empty when the key was
    /// not known.
    Entry visit(std::uint64_t key, std::uint64_t child, bool childSeen, SteadyTime now);

    std::vector<Entry> m_entries;
    std::atomic<float> m_firstKeyRecurrence{1.0F}; ///< Moving mean: 1 for a known outermost key.
    mutable StripedLocks m_locks;
};

} // namespace almondmill
