#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>

namespace almondmill {

/// Bounds what this router has endpoints save to the store of kept KV cache, whose link all share:
/// beyond its rate transfers wait and are not started, and what is fetched waits with them.
class SaveBudget
{
public:
    /// Takes `bytes` out of the budget; false when they don't fit. `bytesPerSecond` is this
    /// router's share of the link.
    bool take(double bytes, double bytesPerSecond, SteadyTime now);

private:
    double m_available = 0;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
