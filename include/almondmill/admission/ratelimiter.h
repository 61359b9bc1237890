#pragma once

#include "almondmill/kernel/time.h"

#include <atomic>
#include <chrono>

namespace almondmill {

/// Token bucket that stores only the time at which it will be full again. Thread-safe and
/// lock-free.
class RateLimiter
{
public:
    /// Takes `amount` if the bucket holds it. The bucket fills at `perSecond`, and its capacity is
    /// what it gains in `burst`. An amount above the capacity can be taken when the bucket is full.
    bool take(double amount, double perSecond, std::chrono::milliseconds burst, SteadyTime now);

    /// Time until `amount` can be taken.
    std::chrono::milliseconds wait(double amount, double perSecond, std::chrono::milliseconds burst,
                                   SteadyTime now) const;

private:
    std::atomic<SteadyTime::rep> m_fullAt{0};
};

} // namespace almondmill
