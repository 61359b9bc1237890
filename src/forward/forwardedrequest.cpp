#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr unsigned Ok = 200;
constexpr unsigned BadRequest = 400;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned RequestTimeout = 408;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServerError = 500;
constexpr unsigned ServiceUnavailable = 503;

/// A connection inside a region is made in a few milliseconds; a lost packet is sent again after a
/// second, by which another endpoint has long answered.
constexpr milliseconds ConnectTimeout{250};

/// Of the target latency: after that an unanswered request that may run again goes elsewhere.
constexpr int PatienceInTargets = 2;

/// The same for prompts, which may wait at a busy engine: moving them too early has them read
/// twice.
constexpr int PromptPatienceInTargets = 4;

/// An endpoint that turned a request away for want of room is passed over for this long.
constexpr milliseconds RefusalPause{50};

/// An endpoint whose lifetime or weights are not as expected is passed over until its registration
/// is read again.
constexpr milliseconds MismatchPause{500};

milliseconds timeUntil(SteadyTime deadline, SteadyTime now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - now), milliseconds(1));
}

bool promisesNotRun(unsigned status)
{
    return status == RequestTimeout || status == TooManyRequests || status == ServiceUnavailable;
}

} // namespace

ForwardedRequest::ForwardedRequest(ForwardingContext &context, SendPlanner &planner,
                                   CallerRequest &request, CallerSession &session)
    : m_context(context)
    , m_planner(planner)
    , m_request(request)
    , m_session(session)
    , m_table(context.table.snapshot())
    , m_startedAt(steadyNow())
{}

ForwardedRequest::~ForwardedRequest() = default;

ForwardedRequest::Awaitable<bool> ForwardedRequest::run()
{
    const auto refusal = resolve();
    if (refusal)
        co_return co_await answer(*refusal);
    m_context.repeats.requestStarted(m_service, m_startedAt);
    m_session.onLeave([this] {
        if (m_exchange)
            m_exchange->cancel();
    });
    co_return co_await tryEndpoints();
}

std::optional<ForwardedRequest::Refusal> ForwardedRequest::resolve()
{
    if (!m_table)
        return Refusal{ServiceUnavailable, "no_configuration"};
    m_route = m_table->match(m_request.host, m_request.path());
    if (!m_route)
        return Refusal{NotFound, "no_route"};
    if (const auto refusal = findAccount())
        return refusal;
    if (m_request.id.empty())
        return Refusal{BadRequest, "no_request_id"};
    m_service = RoutingTable::serviceFor(*m_route, hash64(m_request.id));
    const auto patience = std::min(m_route->timeout, m_request.timeLeft.value_or(m_route->timeout));
    m_deadline = m_startedAt + patience;
    return std::nullopt;
}

std::optional<ForwardedRequest::Refusal> ForwardedRequest::findAccount()
{
    if (!m_table->configuration().keysRequired || m_route->isPublic)
        return std::nullopt;
    m_account = m_table->accountOf(m_request.key);
    if (!m_account)
        return Refusal{Unauthorized, m_request.key.empty() ? "no_key" : "unknown_key"};
    return std::nullopt;
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::tryEndpoints()
{
    for (;;) {
        const SteadyTime now = steadyNow();
        const auto view = now < m_deadline ? m_planner.pick(placed(), m_tried, now) : nullptr;
        if (!view)
            co_return co_await answerAfterFailures();
        const End end = co_await attempt(view);
        if (end == End::Answered) {
            logEnd("answered", Ok);
            co_return true;
        }
        if (end == End::CallerGone || m_session.hasLeft()) {
            logEnd("caller_left", 0);
            co_return false;
        }
        if (!mayTryAgain(end, steadyNow()))
            co_return co_await answerAfterFailures();
    }
}

bool ForwardedRequest::mayTryAgain(End end, SteadyTime now)
{
    if (end == End::NotSent)
        return true;
    if (end == End::Failed) {
        m_mayHaveRun = true;
        if (!mayRunAgain(m_route->repetition))
            return false;
    }
    if (!hasAttemptsLeft())
        return false;
    if (m_context.repeats.take(m_service, now))
        return true;
    m_lastReason = "retry_budget";
    return false;
}

std::uint64_t ForwardedRequest::heldTokens() const
{
    if (!m_request.prompt)
        return 0;
    return std::uint64_t(m_request.prompt->promptTokens) + m_request.prompt->maxOutputTokens;
}

bool ForwardedRequest::hasAttemptsLeft() const
{
    return m_sends < m_route->maxAttempts;
}

PlacedRequest ForwardedRequest::placed() const
{
    return {m_request, *m_table, *m_route, m_account, m_service};
}

ForwardedRequest::Awaitable<ForwardedRequest::End> ForwardedRequest::attempt(SendPlanner::View view)
{
    m_tried.push_back(view);
    m_attemptAt = steadyNow();
    EndpointExchange exchange(view, m_context.adapter->codec());
    m_exchange = &exchange;
    const std::uint64_t tokens = heldTokens();
    view->requestOpened(tokens);
    const End end = co_await exchangeAnswer(exchange);
    view->requestClosed(tokens);
    stopReading();
    exchange.finish(steadyNow());
    m_exchange = nullptr;
    if (end != End::Answered && end != End::CallerGone) {
        m_context.requestMetrics.attemptFailed(m_lastReason);
        EventLine("request.attempt")
                .add("id", m_request.id)
                .add("endpoint", view->id())
                .add("result", m_lastReason)
                .add("sent", exchange.wasSent());
    }
    co_return end;
}

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::exchangeAnswer(EndpointExchange &exchange)
{
    EndpointView &view = exchange.endpoint();
    const auto connectBy = attemptDeadline(ConnectTimeout, m_attemptAt);
    auto error = co_await exchange.connect(m_context.loop.get_executor(), connectBy);
    if (error != ExchangeError::None)
        co_return endOf(error, exchange, steadyNow());
    if (!view.takesRequests()) {
        m_lastReason = "endpoint_left";
        co_return End::NotSent;
    }
    const SteadyTime now = steadyNow();
    const EndpointSend send = m_planner.planSend(placed(), view, timeUntil(m_deadline, now), now);
    ++m_sends;
    m_context.requestMetrics.sent(m_sends > 1);
    logSend(send, view);
    if (m_request.prompt) {
        m_unread = m_request.prompt->promptTokens;
        view.readingStarted(m_unread);
    }
    error = co_await exchange.send(m_request, send, m_deadline);
    if (error != ExchangeError::None)
        co_return endOf(error, exchange, steadyNow());
    co_return co_await receiveAnswer(exchange);
}

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::receiveAnswer(EndpointExchange &exchange)
{
    const bool again = mayRunAgain(m_route->repetition) && hasAttemptsLeft();
    const auto patience = m_route->targetLatency
                          * (m_request.prompt ? PromptPatienceInTargets : PatienceInTargets);
    const auto by =
            again && patience.count() > 0 ? attemptDeadline(patience, m_attemptAt) : m_deadline;
    const auto error = co_await exchange.readHead(m_request.id, by);
    if (error != ExchangeError::None)
        co_return endOf(error, exchange, steadyNow());
    exchange.endpoint().health().heard(steadyNow());
    const AnswerFacts &facts = exchange.facts();
    if (facts.weightsVersion && m_request.prompt)
        exchange.endpoint().setWeightsVersion(m_request.prompt->model, *facts.weightsVersion);
    if (facts.notRun)
        co_return co_await takeRefusal(exchange);
    if (!isUsableSuccess(exchange))
        co_return co_await takeFailure(exchange);
    if (isStream(m_route->repetition))
        co_return co_await relayEvents(exchange);
    co_return co_await relayWhole(exchange);
}

bool ForwardedRequest::isUsableSuccess(const EndpointExchange &exchange) const
{
    const AnswerFacts &facts = exchange.facts();
    const bool isSuccess = facts.status >= 200 && facts.status < 300;
    return isSuccess && facts.isSigned && !exchange.head().fields.find("Content-Encoding");
}

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::takeRefusal(EndpointExchange &exchange)
{
    EndpointView &view = exchange.endpoint();
    const AnswerFacts &facts = exchange.facts();
    const SteadyTime now = steadyNow();
    if (facts.otherEndpoint) {
        m_lastReason = "other_endpoint";
        --m_sends;
        view.health().refused(now, MismatchPause);
    } else {
        m_lastReason = "endpoint_full";
        view.health().refused(now, RefusalPause);
    }
    stopReading();
    // Read for the connection's sake only: that the request did not run is certain by now.
    (void)co_await exchange.readBody(attemptDeadline(ConnectTimeout, now));
    co_return End::NotRun;
}

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::takeFailure(EndpointExchange &exchange)
{
    const AnswerFacts &facts = exchange.facts();
    const bool isSuccess = facts.status >= 200 && facts.status < 300;
    if (facts.status >= ServerError || isSuccess)
        exchange.endpoint().health().failed(steadyNow());
    m_lastReason = isSuccess ? "unproven_answer" : "endpoint_error";
    const auto error = co_await exchange.readBody(m_deadline);
    if (error == ExchangeError::Cancelled)
        co_return End::CallerGone;
    if (error != ExchangeError::None || isSuccess || promisesNotRun(facts.status))
        co_return End::Failed;
    m_failure = EndpointFailure{exchange.head(), exchange.body()};
    if (facts.status < ServerError) {
        const std::string head = m_context.adapter->codec().encodeAnswer(
                m_failure->head, m_failure->body.size(), m_session.closesAfterAnswer());
        co_return co_await m_session.send(head + m_failure->body) ? End::Answered : End::CallerGone;
    }
    co_return End::Failed;
}

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::relayWhole(EndpointExchange &exchange)
{
    const auto error = co_await exchange.readBody(m_deadline);
    const SteadyTime now = steadyNow();
    if (error != ExchangeError::None)
        co_return endOf(error, exchange, now);
    noteFirstByte(exchange, now);
    const std::string head = m_context.adapter->codec().encodeAnswer(
            exchange.head(), exchange.body().size(), m_session.closesAfterAnswer());
    co_return co_await m_session.send(head + exchange.body()) ? End::Answered : End::CallerGone;
}

ForwardedRequest::End ForwardedRequest::endOf(ExchangeError error, EndpointExchange &exchange,
                                              SteadyTime now)
{
    EndpointHealth &health = exchange.endpoint().health();
    switch (error) {
    case ExchangeError::Cancelled:
        return End::CallerGone;
    case ExchangeError::NoConnection:
        m_lastReason = "no_connection";
        health.silent(now);
        return End::NotSent;
    case ExchangeError::TooLate:
        m_lastReason = "timeout";
        // One that answers others meanwhile is busy, and to avoid it would only move its load.
        if (!health.wasHeardSince(m_attemptAt))
            health.silent(now);
        return End::Failed;
    case ExchangeError::Broken:
    case ExchangeError::None:
        break;
    }
    m_lastReason = "connection_broken";
    health.failed(now);
    return End::Failed;
}

SteadyTime ForwardedRequest::attemptDeadline(milliseconds patience, SteadyTime now) const
{
    return std::min(m_deadline, now + patience);
}

void ForwardedRequest::noteFirstByte(EndpointExchange &exchange, SteadyTime now)
{
    stopReading();
    exchange.endpoint().health().succeeded(
            std::chrono::duration_cast<milliseconds>(now - m_attemptAt), now);
    if (m_firstByteAt == SteadyTime())
        m_firstByteAt = now;
}

void ForwardedRequest::stopReading()
{
    if (m_exchange && m_unread != 0)
        m_exchange->endpoint().readingEnded(m_unread);
    m_unread = 0;
}

} // namespace almondmill
