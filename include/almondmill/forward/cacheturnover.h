#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

/// Estimates for how long engines keep what no request uses any more, from the tokens that this
/// router has them take in: what is least recently used yields to them.
class CacheTurnover
{
public:
    /// An engine takes in `tokens` that it did not have.
    void add(double tokens, SteadyTime now);

    /// `memoryTokens` is the memory of all engines, `routers` how many send about as much as this
    /// one.
    std::chrono::milliseconds lifetime(double memoryTokens, double routers, SteadyTime now) const;

private:
    double rateAt(SteadyTime now) const;

    double m_rate = 0; ///< Tokens a second, smoothed, as of `m_changedAt`.
    SteadyTime m_changedAt;
};

} // namespace almondmill
