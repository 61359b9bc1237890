#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/placement/home.h"
#include "almondmill/placement/stripedlocks.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace almondmill {

/// Owners' answers for as long as they hold. Bounded memory; safe to use from several threads, a
/// lock is held for a few loads and stores only.
class AdviceCache
{
public:
    explicit AdviceCache(std::size_t entries);

    /// The home advised for the prefix, while the advice holds.
    std::optional<Home> find(std::uint64_t key, SteadyTime now) const;
    std::size_t stateBytes() const;

    void store(std::uint64_t key, const Home &home, SteadyTime until);

private:
    struct Entry
    {
        std::uint64_t key = 0;
        Home home;
        SteadyTime until = SteadyTime::min();
    };

    std::vector<Entry> m_entries;
    mutable StripedLocks m_locks;
};

} // namespace almondmill
