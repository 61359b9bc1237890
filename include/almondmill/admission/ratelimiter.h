#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <chrono>

namespace almondmill {

/// A token bucket kept as one point in time: that at which it will be full again. Lock-free, safe
/// to use from several threads.
class RateLimiter
{
public:
    /// Takes `amount` if the bucket holds it. The bucket fills at `perSecond` and holds what flows
    /// in during `burst`; an amount larger than the bucket is taken when the bucket is full.
    bool take(double amount, double perSecond, std::chrono::milliseconds burst, SteadyTime now);

    /// Time until `amount` can be taken.
    std::chrono::milliseconds wait(double amount, double perSecond, std::chrono::milliseconds burst,
                                   SteadyTime now) const;

private:
    std::atomic<SteadyTime::rep> m_fullAt{0};
};

} // namespace almondmill
