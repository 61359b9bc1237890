#include "almondmill/forward/ratelimits.h"

#include <algorithm>

namespace almondmill {

RateLimitChange RateLimits::record(const RateLimitReport &report)
{
    const bool isKnown = m_limits.contains(report.endpoint);
    if (!isKnown && !report.statement.perSecond)
        return RateLimitChange::None;
    if (!isKnown && m_limits.size() >= MaxEndpoints)
        dropOldest();
    return m_limits[report.endpoint].record(report.statement);
}

std::optional<double> RateLimits::perSecond(std::uint64_t endpoint) const
{
    const auto found = m_limits.find(endpoint);
    return found == m_limits.end() ? std::nullopt : found->second.perSecond();
}

std::size_t RateLimits::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_limits.begin(), m_limits.end(),
                          [](const auto &entry) { return entry.second.perSecond().has_value(); }));
}

void RateLimits::dropOldest()
{
    const auto oldest = std::min_element(
            m_limits.begin(), m_limits.end(), [](const auto &first, const auto &second) {
                return first.second.statement()->heardAt < second.second.statement()->heardAt;
            });
    m_limits.erase(oldest);
}

} // namespace almondmill
