#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace almondmill {

class ObjectStore;

/// Result of one step of a sweep.
struct SweepStep
{
    std::size_t removed = 0;
    std::size_t calls = 0; ///< Calls to the store.
    bool complete = false; ///< False when the store failed or expired claims remain.
};

/// Removes expired claims, one shard of the claim names at a time, so that lists stay short.
class ClaimSweeper
{
public:
    /// Claims are sharded by the first three hexadecimal digits of their names.
    static constexpr unsigned ShardCount = 4096;

    /// Limit of claims removed in a step. The remaining ones are removed in the next round.
    static constexpr std::size_t MaxRemovalsPerStep = 2000;

    /// Documented time for which a key is retained.
    static constexpr std::chrono::hours KeyRetention{24};

    /// Added to the retention time, because the clocks of routers differ.
    static constexpr std::chrono::hours ClockSkewMargin{1};

    ClaimSweeper(ObjectStore &store, std::chrono::milliseconds timeout);

    /// Removes the claims of one shard that were created more than KeyRetention + ClockSkewMargin
    /// before `now`. Costs one list call and one removal per expired claim; a removal is
    /// conditional on the listed version.
    SweepStep sweep(unsigned shard, WallTime now);

private:
    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
};

} // namespace almondmill
