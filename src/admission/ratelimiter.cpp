#include "almondmill/admission/ratelimiter.h"

#include <algorithm>

namespace almondmill {

namespace {

SteadyTime::rep ticksOf(double amount, double perSecond)
{
    const std::chrono::duration<double> time(amount / perSecond);
    return std::chrono::duration_cast<SteadyTime::duration>(time).count();
}

SteadyTime::rep ticksOf(std::chrono::milliseconds time)
{
    return std::chrono::duration_cast<SteadyTime::duration>(time).count();
}

/// Ticks that the bucket lacks for `cost`; zero or less when it can be taken.
SteadyTime::rep missingTicks(SteadyTime::rep fullAt, SteadyTime::rep cost, SteadyTime::rep burst,
                             SteadyTime::rep now)
{
    return std::max(fullAt, now) + std::min(cost, burst) - burst - now;
}

} // namespace

bool RateLimiter::take(double amount, double perSecond, std::chrono::milliseconds burst,
                       SteadyTime now)
{
    const SteadyTime::rep cost = ticksOf(amount, perSecond);
    const SteadyTime::rep nowTicks = now.time_since_epoch().count();
    SteadyTime::rep fullAt = m_fullAt.load(std::memory_order_relaxed);
    do {
        if (missingTicks(fullAt, cost, ticksOf(burst), nowTicks) > 0)
            return false;
    } while (!m_fullAt.compare_exchange_weak(fullAt, std::max(fullAt, nowTicks) + cost,
                                             std::memory_order_relaxed));
    return true;
}

std::chrono::milliseconds RateLimiter::wait(double amount, double perSecond,
                                            std::chrono::milliseconds burst, SteadyTime now) const
{
    const SteadyTime::rep ticks =
            missingTicks(m_fullAt.load(std::memory_order_relaxed), ticksOf(amount, perSecond),
                         ticksOf(burst), now.time_since_epoch().count());
    return std::chrono::ceil<std::chrono::milliseconds>(
            SteadyTime::duration(std::max<SteadyTime::rep>(ticks, 0)));
}

} // namespace almondmill
