// Implementation of ForwardedRequest: whether, when and where a request is sent once more.

#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"

#include <algorithm>
#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Pause between two searches for an endpoint that continues a stream.
constexpr milliseconds SearchInterval{100};

} // namespace

bool ForwardedRequest::mayRetry(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotSent)
        return true;
    if (outcome == AttemptOutcome::Failed) {
        m_mayHaveRun = true;
        m_refusalPauses.reset();
        if (!mayRunAgain(m_route->retrySafety))
            return false;
        if (m_streamStarted && !m_continuity.canResume())
            return false;
        if (m_hasBroken && !m_answerStartedAt && !m_context.partBreakers.mayRetry(m_parts)) {
            m_lastReason = "part_suspected";
            return false;
        }
    }
    m_wasRefused = outcome == AttemptOutcome::NotRun && m_mayHaveRun;
    m_needsRetryBudget = true;
    return hasAttemptsLeft();
}

bool ForwardedRequest::hasAttemptsLeft() const
{
    // Only endpoints that may have run the request are limited. A request that no endpoint has run
    // is refused early instead, so that its caller can go to another router.
    const std::uint32_t counted = m_mayHaveRun ? m_sendCount - m_refusals : m_sendCount;
    return counted < m_route->maxAttempts;
}

ForwardedRequest::Awaitable<SendPlanner::View> ForwardedRequest::nextEndpoint()
{
    if (m_replacement) {
        m_needsRetryBudget = false;
        co_return std::exchange(m_replacement, nullptr);
    }
    if (std::exchange(m_wasRefused, false))
        co_await pauseSearch(m_refusalPauses.next());
    if (m_session.hasDisconnected())
        co_return nullptr;
    auto view = takeEndpoint(m_triedEndpoints, RetryReason::Failure, ClockTimes::now());
    // A stream that has begun cannot be refused any more. Endpoints tried before may be free again.
    while (!view && m_streamStarted && steadyNow() < m_deadline && !m_session.hasDisconnected()) {
        co_await pauseSearch(SearchInterval);
        view = takeEndpoint({}, RetryReason::Failure, ClockTimes::now());
    }
    co_return view;
}

ForwardedRequest::Awaitable<void> ForwardedRequest::pauseSearch(milliseconds pause)
{
    const auto left = std::chrono::ceil<milliseconds>(m_deadline - steadyNow());
    co_await sleepFor(m_context.loop, std::min(pause, left));
}

SendPlanner::View ForwardedRequest::takeEndpoint(const std::vector<SendPlanner::View> &excluded,
                                                 RetryReason reason, const ClockTimes &now)
{
    if (now.steady >= m_deadline)
        return nullptr;
    ServiceRetryBudgets &budgets = m_context.retryBudgets;
    if (m_needsRetryBudget && !budgets.canTake(m_service, now.steady, reason)) {
        m_lastReason = "retry_budget";
        return nullptr;
    }
    auto view = m_planner.pick(placed(), excluded, now);
    if (!view || !m_needsRetryBudget)
        return view;
    if (!budgets.take(m_service, now.steady, reason))
        return nullptr;
    m_needsRetryBudget = false;
    return view;
}

bool ForwardedRequest::secureReplacement(const ClockTimes &now)
{
    const bool isFirst = !m_silenceRecorded;
    recordSilence(m_exchange->endpoint().health(), now.steady);
    const bool mayHaveRunBefore = std::exchange(m_mayHaveRun, true);
    m_needsRetryBudget = true;
    const bool mayContinue = m_continuity.canResume() && hasAttemptsLeft();
    if (mayContinue && !m_context.partBreakers.findOpen(m_parts, now.steady))
        m_replacement = takeEndpoint(m_triedEndpoints, RetryReason::Silence, now);
    if (!m_replacement)
        m_mayHaveRun = mayHaveRunBefore;
    if (isFirst || m_replacement) {
        EventLine("request.silence")
                .add("id", m_request.id)
                .add("endpoint", m_exchange->endpoint().id())
                .add("begun", m_streamStarted)
                .add("sends", m_sendCount)
                .add("refusals", m_refusals)
                .add("replacement", m_replacement ? m_replacement->id() : std::string());
    }
    return m_replacement != nullptr;
}

void ForwardedRequest::recordSilence(EndpointHealth &health, SteadyTime now)
{
    // An endpoint that has answered other requests since this attempt started is busy, not
    // unresponsive; avoiding it would only move its load elsewhere.
    if (!m_silenceRecorded && !health.wasActiveSince(m_attemptStartedAt))
        health.recordNoAnswer(now);
    m_silenceRecorded = true;
}

} // namespace almondmill
