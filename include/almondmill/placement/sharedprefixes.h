#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/stripedlocks.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace almondmill {

/// Which levels of nested prefixes this router's requests share. Bounded memory; safe to use from
/// several threads, a lock is held for a few loads and stores only.
class SharedPrefixes
{
public:
    struct Level
    {
        std::size_t depth = 0; ///< Leading keys up to the level that requests share.
        bool shared = false;   ///< Seen before, or its like recur below the same prefix.
    };

    explicit SharedPrefixes(std::size_t entries);

    /// Notes one request's keys, outermost first. Its level is the first below a branching whose
    /// branches recur: an account's common instructions branch into its histories, and a history is
    /// the level; a level whose continuations are each seen once is the last.
    Level note(std::span<const std::uint64_t> keys, SteadyTime now);

    std::size_t stateBytes() const;

private:
    struct Entry
    {
        std::uint64_t key = 0;
        SteadyTime lastSeen = SteadyTime::min();
        std::uint64_t lastChild = 0;
        float branches = 0; ///< Moving mean: the next key differs from the one before.
        float recurs = 0;   ///< Moving mean: the next key had been seen.
    };

    bool noteFirst(bool seen);
    /// Notes the key and the one below it; returns the entry as it was, empty when unknown.
    Entry visit(std::uint64_t key, std::uint64_t child, bool childSeen, SteadyTime now);

    std::vector<Entry> m_entries;
    std::atomic<float> m_firstRecurs{1.0F}; ///< Moving mean: the outermost key had been seen.
    mutable StripedLocks m_locks;
};

} // namespace almondmill
