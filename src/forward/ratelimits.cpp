#include "almondmill/forward/ratelimits.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Relative change of a rate from which on it is broadcast. Smaller ones reach the other routers
/// with the permits that they ask for.
constexpr double NoticeableChange = 0.1;

bool isNoticeable(std::optional<double> before, std::optional<double> after)
{
    if (before.has_value() != after.has_value())
        return true;
    return before && std::abs(*after - *before) > NoticeableChange * *before;
}

} // namespace

RateLimitChange RateLimits::record(const RateLimitReport &report, Source source)
{
    const bool isKnown = m_entries.contains(report.endpoint);
    if (!isKnown && !report.statement.perSecond)
        return RateLimitChange::None;
    if (!isKnown && m_entries.size() >= MaxEndpoints)
        dropOldest();
    Entry &entry = m_entries[report.endpoint];
    const RateLimitChange change = entry.limit.record(report.statement);
    if (change == RateLimitChange::None)
        return change;
    if (change != RateLimitChange::Changed)
        entry.withheldUntil = SteadyTime();
    if (source == Source::Peer)
        entry.broadcastRate = entry.limit.perSecond();
    else
        scheduleBroadcast(report.endpoint, entry);
    return change;
}

void RateLimits::scheduleBroadcast(std::uint64_t endpoint, Entry &entry)
{
    if (entry.isUnsent || !isNoticeable(entry.broadcastRate, entry.limit.perSecond()))
        return;
    entry.isUnsent = true;
    m_unsent.push_back(endpoint);
    if (m_onUnsent)
        m_onUnsent();
}

std::optional<double> RateLimits::perSecond(std::uint64_t endpoint) const
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? std::nullopt : found->second.limit.perSecond();
}

std::optional<RateLimitReport> RateLimits::find(std::uint64_t endpoint) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return std::nullopt;
    return RateLimitReport{endpoint, *found->second.limit.statement()};
}

std::size_t RateLimits::limitedCount() const
{
    return static_cast<std::size_t>(
            std::count_if(m_entries.begin(), m_entries.end(), [](const auto &entry) {
                return entry.second.limit.perSecond().has_value();
            }));
}

void RateLimits::withhold(std::uint64_t endpoint, SteadyTime until)
{
    const auto found = m_entries.find(endpoint);
    if (found != m_entries.end())
        found->second.withheldUntil = std::max(found->second.withheldUntil, until);
}

std::optional<SteadyTime> RateLimits::withheldUntil(std::uint64_t endpoint, SteadyTime now) const
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || !found->second.limit.perSecond()
        || found->second.withheldUntil <= now)
        return std::nullopt;
    return found->second.withheldUntil;
}

std::vector<RateLimitReport> RateLimits::takeUnsent(std::size_t max)
{
    std::vector<RateLimitReport> reports;
    while (!m_unsent.empty() && reports.size() < max) {
        const auto found = m_entries.find(m_unsent.front());
        m_unsent.pop_front();
        if (found == m_entries.end())
            continue;
        Entry &entry = found->second;
        entry.isUnsent = false;
        entry.broadcastRate = entry.limit.perSecond();
        reports.push_back({found->first, *entry.limit.statement()});
    }
    return reports;
}

std::vector<RateLimitReport> RateLimits::takeRepeats(std::size_t max)
{
    std::vector<RateLimitReport> reports;
    for (const auto &[endpoint, entry] : m_entries) {
        if (entry.limit.perSecond())
            reports.push_back({endpoint, *entry.limit.statement()});
    }
    if (reports.size() <= max)
        return reports;
    m_repeated %= reports.size();
    std::rotate(reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(m_repeated),
                reports.end());
    reports.resize(max);
    m_repeated += max;
    return reports;
}

void RateLimits::dropOldest()
{
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &first, const auto &second) {
                                             return first.second.limit.statement()->heardAt
                                                    < second.second.limit.statement()->heardAt;
                                         });
    m_entries.erase(oldest);
}

} // namespace almondmill
