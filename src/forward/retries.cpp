// Implementation of ForwardedRequest: whether, when and where a request is sent once more.

#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/pacerecorder.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"

#include <algorithm>
#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// After this many refused permits a request goes only to endpoints without a rate limit: each
/// refusal takes a round trip to another router.
constexpr int MaxPermitsDenied = 6;

/// A stream waits so long after its last event for an endpoint of its software: one that crashed
/// may be back by then, and callers leave soon after.
constexpr milliseconds SoftwareReturnTime{1500};

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
        if (m_hasBroken && !isAnswerSettled() && !m_context.partBreakers.mayRetry(m_parts)) {
            m_lastReason = "part_suspected";
            return false;
        }
    }
    m_wasRefused = outcome == AttemptOutcome::NotRun && m_mayHaveRun;
    m_needsRetryBudget = true;
    return hasAttemptsLeft(m_mayHaveRun);
}

bool ForwardedRequest::hasAttemptsLeft(bool mayHaveRun) const
{
    // Only endpoints that may have run the request are limited. A request that no endpoint has run
    // is refused early instead, so that its caller can go to another router.
    const std::uint32_t counted = mayHaveRun ? m_sendCount - m_refusals : m_sendCount;
    return counted < m_route->maxAttempts;
}

ForwardedRequest::Awaitable<SendPlanner::View> ForwardedRequest::nextEndpoint()
{
    returnPermit();
    if (m_nextExchange) {
        m_needsRetryBudget = false;
        co_return m_nextExchange->sharedEndpoint();
    }
    if (std::exchange(m_wasRefused, false))
        co_await pauseSearch(m_refusalPauses.next());
    if (m_session.hasDisconnected())
        co_return nullptr;
    auto view = co_await takePermittedEndpoint(m_triedEndpoints);
    // Endpoints tried before may be free again.
    while (!view && waitsForEndpoint(ClockTimes::now())) {
        co_await pauseSearch(m_streamStarted ? SearchInterval : m_refusalPauses.next());
        view = co_await takePermittedEndpoint({});
    }
    co_return view;
}

bool ForwardedRequest::waitsForEndpoint(const ClockTimes &now) const
{
    if (now.steady >= m_deadline || m_session.hasDisconnected())
        return false;
    if (m_streamStarted)
        return mayContinue(now.steady); // It cannot be refused any more.
    if (!m_mayHaveRun || m_refusals == 0 || m_failure)
        return false;
    if (m_planner.canPick(placed(), {}, now))
        return true;
    const auto returnsAt = m_planner.earliestReturn(placed(), now);
    return returnsAt && *returnsAt - now.boot < m_deadline - now.steady;
}

bool ForwardedRequest::mayContinue(SteadyTime now) const
{
    return m_planner.hasSoftware(placed()) || now < m_lastEventsAt + SoftwareReturnTime;
}

ForwardedRequest::Awaitable<void> ForwardedRequest::pauseSearch(milliseconds pause)
{
    const auto left = std::chrono::ceil<milliseconds>(m_deadline - steadyNow());
    co_await sleepFor(m_context.loop, std::min(pause, left));
}

SendPlanner::View ForwardedRequest::pickWithSlot(std::vector<SendPlanner::View> excluded,
                                                 const ClockTimes &now)
{
    const auto full = m_planner.fullEndpoints(placed());
    excluded.insert(excluded.end(), full.begin(), full.end());
    return m_planner.pick(placed(), excluded, now);
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
    // While there is no free slot, a request that was rejected for lack of capacity would be
    // rejected elsewhere too, and take the place of one that has waited.
    const bool needsSlot = m_refusals > 0 && !m_mayHaveRun && !m_streamStarted
                           && m_planner.isOverloaded(placed(), now);
    auto view = needsSlot ? pickWithSlot(excluded, now) : m_planner.pick(placed(), excluded, now);
    if (!view || !m_needsRetryBudget)
        return view;
    if (!budgets.take(m_service, now.steady, reason))
        return nullptr;
    m_needsRetryBudget = false;
    return view;
}

ForwardedRequest::Awaitable<SendPlanner::View>
ForwardedRequest::takePermittedEndpoint(std::vector<SendPlanner::View> excluded)
{
    for (int denied = 0;; ++denied) {
        if (denied == MaxPermitsDenied) {
            const auto limited = m_planner.limitedEndpoints(placed());
            excluded.insert(excluded.end(), limited.begin(), limited.end());
        }
        auto view = takeEndpoint(excluded, RetryReason::Failure, ClockTimes::now());
        if (!view || m_session.hasDisconnected())
            co_return view;
        if (!m_mayHaveRun && !m_streamStarted) {
            m_excessWait = m_planner.excessWait(placed(), *view, ClockTimes::now());
            if (m_excessWait) {
                m_lastReason = "overloaded";
                co_return nullptr;
            }
        }
        if (co_await obtainPermit(view, excluded))
            co_return view;
        excluded.push_back(std::move(view));
    }
}

ForwardedRequest::Awaitable<bool>
ForwardedRequest::obtainPermit(SendPlanner::View view, std::vector<SendPlanner::View> excluded)
{
    if (!m_planner.needsPermit(*view))
        co_return true;
    const ClockTimes now = ClockTimes::now();
    const bool isAtHand =
            m_permit && m_permit->endpoint == view->incarnation() && now.boot < m_permit->expiresAt;
    if (isAtHand)
        co_return true;
    returnPermit();
    excluded.insert(excluded.end(), m_triedEndpoints.begin(), m_triedEndpoints.end());
    excluded.push_back(view);
    const milliseconds maxWait = m_planner.longestPermitWait(placed(), excluded, now);
    m_permit = co_await m_context.sendPermits.obtain(view->incarnation(), maxWait);
    if (!m_permit) {
        m_lastReason = "endpoint_rate_limited";
        EventLine("request.no_permit")
                .add("id", m_request.id)
                .add("endpoint", view->id())
                .add("longest_wait", maxWait);
    }
    co_return m_permit.has_value();
}

void ForwardedRequest::returnPermit()
{
    const auto unused = std::exchange(m_permit, std::nullopt);
    if (unused)
        m_context.sendPermits.giveBack(*unused);
}

void ForwardedRequest::seekReplacement(const ClockTimes &now)
{
    const bool isFirst = !m_silenceRecorded;
    recordSilence(m_exchange->endpoint(), now.steady);
    if (m_replacement.exists())
        return;
    // An endpoint that answers others is busy: under overload, the request would only wait
    // elsewhere.
    const bool isBusy = m_exchange->endpoint().health().wasActiveSince(m_attemptStartedAt)
                        && m_planner.isOverloaded(placed(), now);
    const bool isAllowed =
            mayBeReplaced(now.steady) && !isBusy
            && m_context.retryBudgets.canTake(m_service, now.steady, RetryReason::Silence);
    // An endpoint with a rate limit is not used while another one still has the request.
    std::vector<SendPlanner::View> excluded = m_planner.limitedEndpoints(placed());
    excluded.insert(excluded.end(), m_triedEndpoints.begin(), m_triedEndpoints.end());
    const auto view = isAllowed ? m_planner.pick(placed(), excluded, now) : nullptr;
    if (isFirst || view) {
        EventLine("request.silence")
                .add("id", m_request.id)
                .add("endpoint", m_exchange->endpoint().id())
                .add("begun", m_streamStarted)
                .add("sends", m_sendCount)
                .add("refusals", m_refusals)
                .add("replacement", view ? view->id() : std::string());
    }
    if (!view)
        return;
    m_replacement.open(view, m_context.adapter->codec(), m_context.loop.get_executor(),
                       attemptDeadline(ConnectTimeout, now.steady),
                       [this](ExchangeError error) { useReplacement(error, ClockTimes::now()); });
}

void ForwardedRequest::useReplacement(ExchangeError error, const ClockTimes &now)
{
    const SendPlanner::View view = m_replacement.exchange().sharedEndpoint();
    if (error == ExchangeError::ConnectFailed)
        view->health().recordNoAnswer(now.steady);
    const bool isUsed = error == ExchangeError::None && m_exchange->isSilent()
                        && mayBeReplaced(now.steady) && maySendTo(view, now)
                        && !m_planner.needsPermit(*view)
                        && m_context.retryBudgets.take(m_service, now.steady, RetryReason::Silence);
    EventLine("request.replacement")
            .add("id", m_request.id)
            .add("endpoint", view->id())
            .add("connected", error == ExchangeError::None)
            .add("used", isUsed);
    if (!isUsed) {
        m_replacement.drop();
        return;
    }
    m_nextExchange = m_replacement.take();
    m_exchange->giveUp();
}

bool ForwardedRequest::mayBeReplaced(SteadyTime now) const
{
    return now < m_deadline && m_continuity.canResume() && hasAttemptsLeft(true)
           && !m_context.partBreakers.findOpen(m_parts, now);
}

bool ForwardedRequest::maySendTo(const SendPlanner::View &view, const ClockTimes &now) const
{
    std::vector<SendPlanner::View> tried = m_triedEndpoints;
    tried.push_back(view);
    view->requestOpened(0);
    const bool isAllowed = m_planner.maySend(placed(), *view, tried, now);
    view->requestClosed(0);
    return isAllowed;
}

void ForwardedRequest::recordSilence(EndpointView &view, SteadyTime now)
{
    // An endpoint that has answered other requests since this attempt started is busy, not
    // unresponsive; avoiding it would only move its load elsewhere.
    if (!m_silenceRecorded && !view.health().wasActiveSince(m_attemptStartedAt)) {
        view.health().recordNoAnswer(now);
        recordPaceFailure(m_context, view, m_sentAt, bootTime());
    }
    m_silenceRecorded = true;
}

} // namespace almondmill
