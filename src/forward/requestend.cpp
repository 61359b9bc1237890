// Implementation of ForwardedRequest: error answers to the caller and the end-of-request log.

#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/accountquotas.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned GatewayTimeout = 504;

/// Retry-After when no endpoint could take the request.
constexpr milliseconds RetryAfterNoCapacity{300};

/// Retry-After while the router has no configuration yet.
constexpr milliseconds RetryAfterNoConfiguration{500};

/// Time over which callers that were refused for an open part come back: the test of the part takes
/// until its answer has begun.
constexpr milliseconds PartReturnTime{5000};

/// Time over which callers that were refused for overload come back.
constexpr milliseconds OverloadReturnTime{1000};

/// Spreads callers that were turned away over the time within which they may come back.
milliseconds retrySpread(std::string_view requestId, milliseconds spreadTime)
{
    return milliseconds(hash64(requestId) % std::uint64_t(spreadTime.count()));
}

/// Comma-separated "ID:TOKENS" of the prompt parts that other requests may share, in prompt order.
std::string sharedPartsOf(const PromptRequest &prompt)
{
    std::string text;
    for (std::size_t part = 0; part + 1 < prompt.parts.size(); ++part) {
        const char *separator = text.empty() ? "" : ",";
        absl::StrAppend(&text, separator, prompt.parts[part].id, ":", prompt.parts[part].tokens);
    }
    return text;
}

} // namespace

ForwardedRequest::Awaitable<bool> ForwardedRequest::answerAfterFailures()
{
    if (m_streamStarted) {
        // Part of the answer has been sent already. Closing the connection without the final chunk
        // shows the caller that the stream is incomplete.
        logEnd(m_lastReason, 0);
        co_return false;
    }
    if (m_failure) {
        const std::string head = m_session.beginAnswer(m_failure->head, m_failure->bodyBytes);
        logEnd(m_lastReason, m_failure->head.status);
        co_return co_await m_session.send(head, m_failure->body);
    }
    if (!m_mayHaveRun) {
        returnQuota();
        co_return co_await answer({ServiceUnavailable, m_lastReason});
    }
    const bool isLate = steadyNow() >= m_deadline;
    co_return co_await answer({isLate ? GatewayTimeout : BadGateway, m_lastReason});
}

void ForwardedRequest::returnQuota()
{
    if (const auto amount = std::exchange(m_quotaAmount, std::nullopt))
        m_context.accountQuotas->giveBack(*m_account, *amount);
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::answer(const Refusal &refusal)
{
    logEnd(refusal.reason, refusal.status);
    std::optional<milliseconds> retryAfter;
    if (refusal.status == ServiceUnavailable)
        retryAfter = timeToRetryAfter(ClockTimes::now());
    if (refusal.status == ServiceUnavailable && m_openPart)
        retryAfter = m_openPart->retryAfter + retrySpread(m_request.id, PartReturnTime);
    if (m_quotaReturn)
        retryAfter = m_quotaReturn;
    co_return co_await m_session.sendOwnAnswer(m_request, refusal.status, retryAfter,
                                               refusal.reason);
}

milliseconds ForwardedRequest::timeToRetryAfter(const ClockTimes &now) const
{
    if (!m_table)
        return RetryAfterNoConfiguration;
    if (m_returnAfter)
        return *m_returnAfter;
    if (m_excessWait)
        return std::max(*m_excessWait, RetryAfterNoCapacity)
               + retrySpread(m_request.id, OverloadReturnTime);
    const auto returnsAt = m_route ? m_planner.earliestReturn(placed(), now) : std::nullopt;
    const auto ownPart = m_route ? m_planner.ownPartOfLimits(placed(), now) : std::nullopt;
    if (ownPart) {
        const auto earliest =
                std::chrono::ceil<milliseconds>(returnsAt.value_or(now.boot) - now.boot);
        return m_context.callerReturns.next(m_service, *ownPart, earliest, now.steady);
    }
    if (!returnsAt && m_route && m_planner.needsNewEndpoint(placed(), now))
        return RetryAfterNoCapacity + retrySpread(m_request.id, EndpointAvailability::ResumeTime);
    if (!returnsAt)
        return RetryAfterNoCapacity;
    return std::chrono::ceil<milliseconds>(*returnsAt - now.boot)
           + retrySpread(m_request.id, EndpointAvailability::ResumeTime);
}

void ForwardedRequest::logSend(const AttemptParameters &send, const EndpointView &view) const
{
    EventLine line("request.send");
    line.add("id", m_request.id)
            .add("endpoint", view.id())
            .add("time_left", send.timeLeft)
            .add("attempt", m_sendCount);
    if (const auto perSecond = m_context.rateLimits.perSecond(view.incarnation())) {
        line.add("rate_limit", *perSecond);
        m_context.requestMetrics.recordLimitedSend();
    }
    if (!m_request.prompt)
        return;
    line.add("scope", send.cacheScope)
            .add("tokens", m_request.prompt->promptTokens)
            .add("open", view.openRequests())
            .add("fetch", send.fetchFrom)
            .add("save", !send.saveTo.empty())
            .add("shared", sharedPartsOf(*m_request.prompt));
}

void ForwardedRequest::logEnd(std::string_view outcome, unsigned status) const
{
    const SteadyTime now = steadyNow();
    const bool hasFirst = m_firstByteAt != SteadyTime();
    m_context.requestMetrics.recordRequest(
            m_route ? std::optional(m_route->retrySafety) : std::nullopt, outcome,
            now - m_startedAt,
            hasFirst ? std::optional(m_firstByteAt - m_startedAt) : std::nullopt);
    EventLine line("request.done");
    line.add("id", m_request.id).add("outcome", outcome).add("status", status);
    if (m_route)
        line.add("route", m_route->name);
    line.add("configuration", m_table ? m_table->version() : 0);
    if (!m_triedEndpoints.empty())
        line.add("endpoint", m_triedEndpoints.back()->id());
    line.add("sends", m_sendCount)
            .add("ms", std::chrono::duration_cast<milliseconds>(now - m_startedAt));
    if (hasFirst)
        line.add("first_ms", std::chrono::duration_cast<milliseconds>(m_firstByteAt - m_startedAt));
}

} // namespace almondmill
