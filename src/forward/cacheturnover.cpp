#include "almondmill/forward/cacheturnover.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Time constant of the smoothed rate; a router sends about ten prompts per second.
constexpr std::chrono::duration<double> SmoothingTime{4.0};

/// Share of an engine's memory that running requests leave to cached parts.
constexpr double CacheMemoryRatio = 0.75;

/// Bounds the estimate, which would be infinite without traffic.
constexpr std::chrono::milliseconds MaxRetention{40000};

} // namespace

void CacheTurnover::addTokens(double tokens, SteadyTime now)
{
    m_tokensPerSecond = rateAt(now) + tokens / SmoothingTime.count();
    m_updatedAt = now;
}

std::chrono::milliseconds CacheTurnover::retention(double memoryTokens, double routers,
                                                   SteadyTime now) const
{
    const double rate = rateAt(now) * std::max(routers, 1.0);
    const double longest = std::chrono::duration<double>(MaxRetention).count();
    if (rate * longest <= memoryTokens * CacheMemoryRatio)
        return MaxRetention;
    const std::chrono::duration<double> seconds(memoryTokens * CacheMemoryRatio / rate);
    return std::chrono::duration_cast<std::chrono::milliseconds>(seconds);
}

double CacheTurnover::rateAt(SteadyTime now) const
{
    const std::chrono::duration<double> elapsed = now - m_updatedAt;
    return m_tokensPerSecond * std::exp(-elapsed / SmoothingTime);
}

} // namespace almondmill
