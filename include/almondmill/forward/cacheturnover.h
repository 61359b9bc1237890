#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

/// Estimates how long engines cache parts that no request uses any more. Engines evict the least
/// recently used parts first, so the estimate follows from the rate of new tokens that this router
/// sends.
class CacheTurnover
{
public:
    /// Records that an engine adds `tokens` to its cache that were not cached before.
    void addTokens(double tokens, SteadyTime now);

    /// Expected time from the last use of a part to its eviction. `memoryTokens` is the memory of
    /// all engines together, `routers` the number of routers, which are taken to send at the same
    /// rate.
    std::chrono::milliseconds retention(double memoryTokens, double routers, SteadyTime now) const;

private:
    double rateAt(SteadyTime now) const;

    double m_tokensPerSecond = 0; ///< Smoothed, as of `m_updatedAt`.
    SteadyTime m_updatedAt;
};

} // namespace almondmill
