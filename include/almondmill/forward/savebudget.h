#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>

namespace almondmill {

/// Token bucket for the bytes that this router lets endpoints save to the KV cache store. All
/// routers share the store's link: saves beyond its rate would queue there and delay fetches.
class SaveBudget
{
public:
    /// Takes `bytes` out of the budget; false when they exceed it. `bytesPerSecond` is this
    /// router's share of the link.
    bool take(double bytes, double bytesPerSecond, SteadyTime now);

private:
    double m_availableBytes = 0;
    SteadyTime m_refilledAt;
};

} // namespace almondmill
