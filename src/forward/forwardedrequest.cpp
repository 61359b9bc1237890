#include "forwardedrequest.h"

#include "almondmill/forward/availabilityrecorder.h"
#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/pacerecorder.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/ratelimitrecorder.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/peers/accountquotas.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

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

/// A repeatable request without an answer after this multiple of the route's target latency is
/// sent to another endpoint.
constexpr int AttemptTimeoutFactor = 2;

/// AttemptTimeoutFactor for prompts. A prompt may queue at a busy engine, and sending it to another
/// one too early makes both engines prefill it.
constexpr int PromptAttemptTimeoutFactor = 4;

/// Pauses after refusals of a request that is looked after until its deadline.
constexpr milliseconds FirstRefusalPause{100};
constexpr milliseconds LongestRefusalPause{800};

/// How long an endpoint that rejected a request for lack of capacity is avoided.
constexpr milliseconds FullEndpointBackoff{50};

/// How long an endpoint whose incarnation or weights differ from the expected ones is avoided. Its
/// registration is read again within this time.
constexpr milliseconds MismatchBackoff{500};

/// A request that is taken in a planned stop is answered this long before the end of the process.
constexpr milliseconds LastAnswerTime{100};

milliseconds timeUntil(SteadyTime deadline, SteadyTime now)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - now), milliseconds(1));
}

/// Whether callers take this status to mean that the request did not run.
bool impliesNotRun(unsigned status)
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
    , m_refusalPauses(FirstRefusalPause, LongestRefusalPause)
{}

ForwardedRequest::~ForwardedRequest()
{
    // A broken connection may be the end of an engine that nobody has noticed.
    if (!m_hasBroken)
        m_context.partBreakers.releaseTests(m_testedParts);
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::run()
{
    const auto refusal = resolveRoute();
    if (refusal)
        co_return co_await answer(*refusal);
    const bool isOriginKnown = co_await findOrigin();
    if (m_session.hasDisconnected()) {
        logEnd("caller_left", 0);
        co_return false;
    }
    if (!isOriginKnown)
        co_return co_await answer({ServiceUnavailable, "stream_origin_unknown"});
    if (m_account && m_account->quota) {
        const bool isWithinQuota = co_await takeQuota();
        if (!isWithinQuota)
            co_return co_await answer({TooManyRequests, "quota_exceeded"});
    }
    if (m_request.prompt)
        m_parts = sharedPartHashes(*m_request.prompt);
    if (findsOpenPart(m_context.partBreakers.findOpen(m_parts, m_startedAt)))
        co_return co_await answerAfterFailures();
    m_context.retryBudgets.requestStarted(m_service, m_startedAt);
    if (m_request.prompt)
        m_context.permitPreferences[m_service].recordRequest(m_request.prompt->promptTokens,
                                                             m_startedAt);
    m_returnAfter = m_planner.admission().refusal(placed(), ClockTimes::now());
    if (m_returnAfter) {
        returnQuota();
        co_return co_await answer({ServiceUnavailable, "overloaded"});
    }
    m_session.onDisconnect([this] {
        if (m_exchange)
            m_exchange->cancel();
    });
    const auto part = m_planner.partToLookUp(placed(), m_startedAt);
    if (part) {
        co_await m_context.partLookups.lookUp(*part);
        EventLine("request.lookup")
                .add("id", m_request.id)
                .add("part", *part)
                .add("found", m_context.partLocations.find(*part) != nullptr);
        if (m_session.hasDisconnected()) {
            returnQuota();
            logEnd("caller_left", 0);
            co_return false;
        }
    }
    const bool isReusable = co_await tryEndpoints();
    returnPermit();
    if (m_sendCount == 0)
        returnQuota();
    co_return isReusable;
}

std::optional<ForwardedRequest::Refusal> ForwardedRequest::resolveRoute()
{
    if (!m_table)
        return Refusal{ServiceUnavailable, "no_configuration"};
    m_route = m_table->match(m_request.host, m_request.path());
    if (!m_route)
        return Refusal{NotFound, "no_route"};
    if (const auto refusal = authenticate())
        return refusal;
    if (m_request.id.empty())
        return Refusal{BadRequest, "no_request_id"};
    m_service = RoutingTable::serviceFor(*m_route, hash64(m_request.streamId));
    const auto timeout = std::min(m_route->timeout, m_request.timeLeft.value_or(m_route->timeout));
    m_deadline = m_startedAt + timeout;
    const auto &stop = m_context.plannedStop;
    if (stop && stop->mustRefuse(m_deadline, m_startedAt))
        return Refusal{ServiceUnavailable, "stopping"};
    if (stop)
        m_deadline = std::min(m_deadline, stop->endsAt() - LastAnswerTime);
    return std::nullopt;
}

std::optional<ForwardedRequest::Refusal> ForwardedRequest::authenticate()
{
    if (!m_table->configuration().keysRequired || m_route->isPublic)
        return std::nullopt;
    m_account = m_table->accountOf(m_request.apiKey);
    if (!m_account)
        return Refusal{Unauthorized, m_request.apiKey.empty() ? "no_key" : "unknown_key"};
    return std::nullopt;
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::findOrigin()
{
    if (!m_request.resumeAfter || m_route->retrySafety != RetrySafety::ResumableStream)
        co_return true;
    m_request.software =
            co_await m_context.streamOrigins.find(m_request.streamId, m_service, bootTime());
    EventLine("request.taken_up")
            .add("id", m_request.id)
            .add("stream", m_request.streamId)
            .add("after", *m_request.resumeAfter)
            .add("known", m_request.software.has_value());
    m_context.requestMetrics.recordTakeUp(m_request.software.has_value());
    co_return m_request.software.has_value();
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::takeQuota()
{
    const AccountQuota &quota = *m_account->quota;
    double amount = 1;
    if (quota.countsTokens)
        amount = m_request.prompt ? static_cast<double>(heldTokens()) : quota.tokensWithoutPrompt;
    const QuotaResult result = co_await m_context.accountQuotas->admit(*m_account, amount);
    if (const auto *refused = std::get_if<QuotaRefused>(&result)) {
        m_quotaReturn = refused->retryAfter;
        co_return false;
    }
    m_quotaAmount = amount;
    co_return true;
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::tryEndpoints()
{
    for (;;) {
        if (findsOpenPart(m_context.partBreakers.findOpen(m_parts, steadyNow(), m_testedParts)))
            co_return co_await answerAfterFailures();
        const auto view = co_await nextEndpoint();
        if (m_session.hasDisconnected()) {
            logEnd("caller_left", 0);
            co_return false;
        }
        if (!view) {
            if (m_triedEndpoints.empty() && m_planner.earliestReturn(placed(), ClockTimes::now()))
                m_lastReason = m_planner.limitedEndpoints(placed()).empty() ? "endpoints_paused"
                                                                            : "endpoints_limited";
            co_return co_await answerAfterFailures();
        }
        const AttemptOutcome outcome = co_await attempt(view);
        if (outcome == AttemptOutcome::Answered) {
            logEnd("answered", Ok);
            co_return true;
        }
        if (outcome == AttemptOutcome::CallerDisconnected || m_session.hasDisconnected()) {
            logEnd("caller_left", 0);
            co_return false;
        }
        if (m_openPart || !mayRetry(outcome))
            co_return co_await answerAfterFailures();
    }
}

std::uint64_t ForwardedRequest::heldTokens() const
{
    if (!m_request.prompt)
        return 0;
    return std::uint64_t(m_request.prompt->promptTokens) + m_request.prompt->maxOutputTokens;
}

RoutedRequest ForwardedRequest::placed() const
{
    return {m_request, *m_table, *m_route, m_account, m_service};
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::attempt(SendPlanner::View view)
{
    m_triedEndpoints.push_back(view);
    m_attemptStartedAt = steadyNow();
    m_silenceRecorded = false;
    m_hasBroken = false;
    m_answerStartedAt.reset();
    m_timer.reset();
    m_isAnswerRecorded = false;
    const auto connected = std::exchange(m_nextExchange, nullptr);
    const auto shared =
            connected ? connected
                      : std::make_shared<EndpointExchange>(view, m_context.adapter->codec());
    EndpointExchange &exchange = *shared;
    exchange.limitMemory(m_context.heldMemory, m_request.id);
    exchange.onSilence([this] { seekReplacement(ClockTimes::now()); });
    m_exchange = &exchange;
    m_load.emplace(view, heldTokens());
    m_openCount.emplace(m_context.openRequests.of(m_service),
                        m_table->urgency().levelOf(*m_route, m_account));
    const AttemptOutcome outcome = co_await exchangeAnswer(exchange);
    if (outcome == AttemptOutcome::Answered)
        recordPerformance(*view, steadyNow());
    m_replacement.drop();
    m_load.reset();
    m_openCount.reset();
    exchange.finish(steadyNow());
    m_exchange = nullptr;
    if (outcome == AttemptOutcome::Answered && m_answerStartedAt)
        m_context.partBreakers.recordAnswer(m_parts, *m_answerStartedAt);
    co_await examineBreak(view);
    if (outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::CallerDisconnected) {
        m_context.requestMetrics.recordFailedAttempt(m_lastReason);
        EventLine("request.attempt")
                .add("id", m_request.id)
                .add("endpoint", view->id())
                .add("result", m_lastReason)
                .add("sent", exchange.wasSent());
    }
    co_return outcome;
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::exchangeAnswer(EndpointExchange &exchange)
{
    EndpointView &view = exchange.endpoint();
    const auto connectBy = attemptDeadline(ConnectTimeout, m_attemptStartedAt);
    auto error = co_await exchange.connect(m_context.loop.get_executor(), connectBy);
    if (error != ExchangeError::None)
        co_return handleExchangeError(error, exchange, steadyNow());
    if (!co_await obtainPermit(exchange.sharedEndpoint(), {}))
        co_return AttemptOutcome::NotSent;
    const ClockTimes now = ClockTimes::now();
    if (!m_planner.maySend(placed(), view, m_triedEndpoints, now)) {
        m_lastReason = view.takesRequests() ? "endpoint_withheld" : "endpoint_left";
        co_return AttemptOutcome::NotSent;
    }
    if (now.steady >= m_deadline) {
        m_lastReason = "timeout"; // This VM may have been paused while the connection was opened.
        co_return AttemptOutcome::NotSent;
    }
    if (findsOpenPart(m_context.partBreakers.admit(m_parts, now.steady, m_testedParts)))
        co_return AttemptOutcome::NotSent;
    if (!m_request.resumeAfter)
        m_timer.emplace(m_planner.expectedWork(placed(), view, now), now.steady);
    const AttemptParameters parameters =
            m_planner.planAttempt(placed(), view, timeUntil(m_deadline, now.steady), now);
    ++m_sendCount;
    m_context.requestMetrics.recordSend(m_sendCount > 1);
    m_sentAt = now.boot;
    m_fetchesParts = !parameters.fetchFrom.empty();
    m_permit.reset();
    logSend(parameters, view);
    if (m_request.prompt)
        m_load->startPrefill(m_request.prompt->promptTokens);
    error = co_await exchange.send(m_request, parameters, m_deadline);
    if (error != ExchangeError::None)
        co_return handleExchangeError(error, exchange, steadyNow());
    co_return co_await receiveAnswer(exchange);
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::receiveAnswer(EndpointExchange &exchange)
{
    const bool canRetry = mayRunAgain(m_route->retrySafety);
    const auto timeout = m_route->targetLatency
                         * (m_request.prompt ? PromptAttemptTimeoutFactor : AttemptTimeoutFactor);
    if (canRetry && timeout.count() > 0)
        exchange.expectBytesBy(m_attemptStartedAt + timeout);
    const auto error = co_await exchange.readHead(m_request.id, m_deadline);
    exchange.expectBytesBy(SteadyTime::max());
    if (error != ExchangeError::None)
        co_return handleExchangeError(error, exchange, steadyNow());
    exchange.endpoint().health().recordActivity(steadyNow());
    const AnswerMetadata &metadata = exchange.metadata();
    recordAvailability(exchange.endpoint(), metadata, m_request.id, m_context.requestMetrics,
                       bootTime());
    recordRateLimit(m_context, exchange.endpoint(), metadata, {m_sentAt, bootTime()});
    if (metadata.weightsVersion && m_request.prompt)
        exchange.endpoint().setWeightsVersion(m_request.prompt->model, *metadata.weightsVersion);
    if (metadata.notExecuted)
        co_return co_await handleRefusal(exchange);
    if (!isUsableSuccess(exchange))
        co_return co_await handleFailure(exchange);
    if (isStream(m_route->retrySafety) && mayHaveEvents(exchange))
        co_return co_await relayEvents(exchange);
    co_return co_await relayCompleteResponse(exchange);
}

bool ForwardedRequest::isUsableSuccess(const EndpointExchange &exchange) const
{
    const AnswerMetadata &metadata = exchange.metadata();
    const bool isSuccess = metadata.status >= 200 && metadata.status < 300;
    const bool continuesStream = metadata.status == Ok && mayHaveEvents(exchange);
    return isSuccess && metadata.isSigned && !exchange.head().fields.find("Content-Encoding")
           && (continuesStream || !m_streamStarted);
}

bool ForwardedRequest::mayHaveEvents(const EndpointExchange &exchange)
{
    return exchange.metadata().mayBeEventStream && !exchange.isWithoutBody();
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::handleRefusal(EndpointExchange &exchange)
{
    EndpointView &view = exchange.endpoint();
    const AnswerMetadata &metadata = exchange.metadata();
    const SteadyTime now = steadyNow();
    if (metadata.isMisdirected) {
        m_lastReason = "other_endpoint";
        --m_sendCount;
        view.health().recordRefusal(now, MismatchBackoff);
    } else {
        ++m_refusals;
        m_lastReason = "endpoint_full";
        recordPaceRejection(m_context, view, m_sentAt, bootTime());
        view.health().recordRefusal(now, FullEndpointBackoff);
    }
    m_load->endPrefill();
    // The body is read only so that the connection can be reused; an error doesn't matter, because
    // the head has already shown that the request did not run.
    (void)co_await exchange.readBody(attemptDeadline(ConnectTimeout, now));
    co_return AttemptOutcome::NotRun;
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::handleFailure(EndpointExchange &exchange)
{
    const AnswerMetadata &metadata = exchange.metadata();
    const bool isSuccess = metadata.status >= 200 && metadata.status < 300;
    if (metadata.status >= ServerError || isSuccess)
        exchange.endpoint().health().recordFailure(steadyNow());
    m_lastReason = isSuccess ? "unproven_answer" : "endpoint_error";
    const auto error = co_await exchange.readBody(m_deadline);
    if (error == ExchangeError::Cancelled)
        co_return AttemptOutcome::CallerDisconnected;
    if (error != ExchangeError::None || isSuccess || impliesNotRun(metadata.status)
        || m_streamStarted)
        co_return AttemptOutcome::Failed;
    m_failure = EndpointFailure{exchange.head(), exchange.relayedLength(), exchange.body()};
    if (metadata.status < ServerError) {
        const std::string head = m_session.beginAnswer(m_failure->head, m_failure->bodyBytes);
        co_return co_await m_session.send(head, m_failure->body)
                ? AttemptOutcome::Answered
                : AttemptOutcome::CallerDisconnected;
    }
    co_return AttemptOutcome::Failed;
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::relayCompleteResponse(EndpointExchange &exchange)
{
    const auto error = co_await exchange.readBody(m_deadline);
    const SteadyTime now = steadyNow();
    if (error != ExchangeError::None)
        co_return handleExchangeError(error, exchange, now);
    m_answerStartedAt = now;
    recordFirstByte(exchange, now);
    const std::string head = m_session.beginAnswer(exchange.head(), exchange.relayedLength());
    co_return co_await m_session.send(head, exchange.body()) ? AttemptOutcome::Answered
                                                             : AttemptOutcome::CallerDisconnected;
}

ForwardedRequest::AttemptOutcome ForwardedRequest::handleExchangeError(ExchangeError error,
                                                                       EndpointExchange &exchange,
                                                                       SteadyTime now)
{
    EndpointHealth &health = exchange.endpoint().health();
    switch (error) {
    case ExchangeError::Cancelled:
        return AttemptOutcome::CallerDisconnected;
    case ExchangeError::ConnectFailed:
        m_lastReason = "no_connection";
        health.recordNoAnswer(now);
        recordPaceFailure(m_context, exchange.endpoint(), bootTime() - (now - m_attemptStartedAt),
                          bootTime());
        return AttemptOutcome::NotSent;
    case ExchangeError::GivenUp:
        m_lastReason = "timeout";
        return AttemptOutcome::Failed; // Its health was recorded when it fell silent.
    case ExchangeError::DeadlineExceeded:
        m_lastReason = "timeout";
        recordSilence(exchange.endpoint(), now);
        return AttemptOutcome::Failed;
    case ExchangeError::ConnectionBroken:
    case ExchangeError::None:
        break;
    }
    m_lastReason = "connection_broken";
    m_hasBroken = true;
    health.recordFailure(now);
    recordPaceFailure(m_context, exchange.endpoint(), m_sentAt, bootTime());
    return AttemptOutcome::Failed;
}

SteadyTime ForwardedRequest::attemptDeadline(milliseconds timeout, SteadyTime now) const
{
    return std::min(m_deadline, now + timeout);
}

void ForwardedRequest::recordPerformance(EndpointView &view, SteadyTime now)
{
    const auto timing = m_timer ? m_timer->timingAt(now) : std::nullopt;
    if (!timing)
        return;
    ServicePerformance &service = m_context.performances.of(m_service, view.registration().slots);
    const ServicePerformance::Sample sample = service.sampleOf(*timing);
    view.performance().record(service.ratiosOf(sample), now);
    service.record(sample, now);
}

void ForwardedRequest::recordFirstByte(EndpointExchange &exchange, SteadyTime now)
{
    m_load->endPrefill();
    if (m_timer)
        m_timer->recordFirst(now);
    exchange.endpoint().health().recordSuccess(
            std::chrono::duration_cast<milliseconds>(now - m_attemptStartedAt), now);
    const SteadyTime bootNow = bootTime();
    recordPaceAnswer(m_context, exchange.endpoint(),
                     {m_sentAt, std::chrono::duration_cast<milliseconds>(bootNow - m_sentAt),
                      m_fetchesParts},
                     bootNow);
    if (m_firstByteAt == SteadyTime())
        m_firstByteAt = now;
}

} // namespace almondmill
