// Checks of what endpoints state about themselves: that they leave, that they want a pause, or how
// many requests they take.

#include "checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>

namespace almondmill::soak {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::string msBetween(SteadyTime from, SteadyTime until)
{
    return absl::StrCat(duration_cast<milliseconds>(until - from).count(), " ms");
}

/// Endpoint that signed an answer: all of the signature before its last dot.
std::string signerOf(const std::string &signature)
{
    return signature.substr(0, std::min(signature.rfind('.'), signature.size()));
}

/// A request that reached an endpoint, executed or refused.
struct Arrival
{
    const Attempt *attempt = nullptr;
    std::string endpoint;
    SteadyTime at;
};

class StatementChecks
{
public:
    StatementChecks(const SoakHistory &history, const SoakBounds &bounds)
        : m_history(history)
        , m_bounds(bounds)
    {
        for (const Attempt &attempt : history.attempts)
            m_attempts[attempt.id] = &attempt;
        for (const RequestRun &run : history.runs)
            addArrival(run.requestId, run.endpoint, run.beganAt);
        for (const RequestRefusal &refusal : history.refusals)
            addArrival(refusal.requestId, refusal.endpoint, refusal.at);
    }

    std::vector<Violation> checkAll()
    {
        for (const Attempt &attempt : m_history.attempts) {
            if (attempt.announcesLeaving && attempt.headAt && !attempt.signature.empty())
                checkLeaving(attempt);
        }
        for (const RequestRefusal &refusal : m_history.refusals) {
            if (refusal.pause)
                checkPause(refusal);
        }
        for (const RateLimitStated &limit : m_history.rateLimits)
            checkRateLimit(limit);
        return m_violations;
    }

private:
    void addArrival(const std::string &requestId, const std::string &endpoint, SteadyTime at)
    {
        const auto found = m_attempts.find(requestId);
        if (found != m_attempts.end())
            m_arrivals[endpoint].push_back({found->second, endpoint, at});
    }

    /// Only an end or a suspension of the router's process excuses a request: the router needs
    /// neither the store nor the endpoint to keep what it was told.
    void checkLeaving(const Attempt &announced)
    {
        const std::string endpoint = signerOf(announced.signature);
        for (const Arrival &arrival : m_arrivals[endpoint]) {
            const Attempt &attempt = *arrival.attempt;
            const bool isLate = attempt.router == announced.router
                                && attempt.sentAt > *announced.headAt + m_bounds.drain;
            if (isLate
                && m_history.hasRouterRunThrough(attempt.router, announced.sentAt, arrival.at))
                m_violations.push_back(violationOf(
                        "leaving", attempt,
                        absl::StrCat("sent ", msBetween(*announced.headAt, attempt.sentAt),
                                     " after an answer said that ", endpoint, " leaves")));
        }
    }

    void checkPause(const RequestRefusal &refusal)
    {
        const auto refused = m_attempts.find(refusal.requestId);
        if (refused == m_attempts.end())
            return;
        const std::size_t router = refused->second->router;
        const SteadyTime from = refusal.at + m_bounds.pauseNotice;
        const SteadyTime until = refusal.at + *refusal.pause;
        const auto &arrivals = m_arrivals[refusal.endpoint];
        const auto count = static_cast<std::size_t>(
                std::count_if(arrivals.begin(), arrivals.end(), [&](const Arrival &arrival) {
                    return arrival.attempt->router == router && arrival.at > from
                           && arrival.at < until;
                }));
        if (count > m_bounds.maxRequestsInPause
            && m_history.isExchangeUndisturbed(router, refusal.endpoint, refusal.at, until,
                                               m_bounds.settleTime))
            m_violations.push_back(
                    violationOf("pause", *refused->second,
                                absl::StrCat(count, " requests reached ", refusal.endpoint,
                                             " in its pause of ", refusal.pause->count(), " ms")));
    }

    /// When each router had passed on an answer with the endpoint's limit.
    std::map<std::size_t, SteadyTime> routersTold(const RateLimitStated &limit) const
    {
        std::map<std::size_t, SteadyTime> told;
        for (const Attempt &attempt : m_history.attempts) {
            const bool tells = attempt.namesRateLimit && attempt.headAt
                               && signerOf(attempt.signature) == limit.endpoint
                               && *attempt.headAt >= limit.from && *attempt.headAt < limit.until;
            if (!tells)
                continue;
            const auto [at, isNew] = told.try_emplace(attempt.router, *attempt.headAt);
            at->second = std::min(at->second, *attempt.headAt);
        }
        return told;
    }

    /// Arrivals that count against the limit: of routers that were told and whose process ran on
    /// undisturbed since the limit began.
    std::vector<SteadyTime> countedArrivals(const RateLimitStated &limit)
    {
        const auto told = routersTold(limit);
        std::vector<SteadyTime> times;
        for (const Arrival &arrival : m_arrivals[limit.endpoint]) {
            const auto toldAt = told.find(arrival.attempt->router);
            const bool counts =
                    toldAt != told.end() && arrival.at >= toldAt->second + m_bounds.rateLimitNotice
                    && arrival.at >= limit.from + m_bounds.settleTime && arrival.at < limit.until;
            if (counts
                && m_history.hasRouterRunThrough(arrival.attempt->router, limit.from, arrival.at))
                times.push_back(arrival.at);
        }
        std::sort(times.begin(), times.end());
        return times;
    }

    /// The sum over the routers binds in each window, whichever routers are disturbed.
    void checkRateLimit(const RateLimitStated &limit)
    {
        const auto times = countedArrivals(limit);
        const double seconds = std::chrono::duration<double>(m_bounds.rateLimitWindow).count();
        const double allowed = m_bounds.rateLimitFactor * seconds * limit.perSecond
                               + static_cast<double>(m_bounds.rateLimitSlack);
        std::size_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end =
                    std::lower_bound(first, times.end(), *first + m_bounds.rateLimitWindow);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        if (static_cast<double>(most) > allowed)
            m_violations.push_back(
                    {"rate-limit", absl::StrCat(limit.endpoint, " got ", most, " requests in ",
                                                seconds, " s with a limit of ", limit.perSecond,
                                                " per second; allowed ", allowed)});
    }

    const SoakHistory &m_history;
    const SoakBounds &m_bounds;
    std::map<std::string, const Attempt *> m_attempts;
    std::map<std::string, std::vector<Arrival>> m_arrivals;
    std::vector<Violation> m_violations;
};

} // namespace

std::vector<Violation> checkStatements(const SoakHistory &history, const SoakBounds &bounds)
{
    return StatementChecks(history, bounds).checkAll();
}

} // namespace almondmill::soak
