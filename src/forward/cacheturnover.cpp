#include "almondmill/forward/cacheturnover.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Over which the rate is smoothed; a router sends some ten prompts a second.
constexpr std::chrono::duration<double> SmoothingTime{4.0};

/// Part of an engine's memory that running requests leave to the cache.
constexpr double CachePart = 0.75;

/// Bound of the estimate; without traffic it would be endless.
constexpr std::chrono::milliseconds LongestLifetime{40000};

} // namespace

void CacheTurnover::add(double tokens, SteadyTime now)
{
    m_rate = rateAt(now) + tokens / SmoothingTime.count();
    m_changedAt = now;
}

std::chrono::milliseconds CacheTurnover::lifetime(double memoryTokens, double routers,
                                                  SteadyTime now) const
{
    const double rate = rateAt(now) * std::max(routers, 1.0);
    const double longest = std::chrono::duration<double>(LongestLifetime).count();
    if (rate * longest <= memoryTokens * CachePart)
        return LongestLifetime;
    const std::chrono::duration<double> seconds(memoryTokens * CachePart / rate);
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
}

double CacheTurnover::rateAt(SteadyTime now) const
{
    const std::chrono::duration<double> passed = now - m_changedAt;
    return m_rate * std::exp(-passed / SmoothingTime);
}

} // namespace almondmill
