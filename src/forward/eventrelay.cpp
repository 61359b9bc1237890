// Implementation of ForwardedRequest: relaying of event streams.

#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/kernel/abslview.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/steadynow.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {

/// A resumable stream that sends nothing for this multiple of the route's longest pause between
/// events is resumed at another endpoint, if there is one.
constexpr int StallTimeoutFactor = 3;

/// Largest event, as an incomplete event is kept in memory.
constexpr std::size_t MaxEventBytes = std::size_t(1) << 20U;

constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Appends bytes of a body, in a chunk if the caller can read one.
void appendPiece(std::string &text, std::string_view bytes, bool isChunked)
{
    if (!isChunked)
        text.append(bytes);
    else
        absl::StrAppend(&text, absl::Hex(bytes.size()), "\r\n", abslView(bytes), "\r\n");
}

} // namespace

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::relayEvents(EndpointExchange &exchange)
{
    m_splitter = EventSplitter();
    m_attemptSentData = false;
    m_isDiscontinued = false;
    if (m_streamStarted)
        m_continuity.resume(m_request.resumeAfter);
    exchange.expectStream();
    const bool resumable = m_route->retrySafety == RetrySafety::ResumableStream;
    const auto stallTimeout = m_route->targetEventGap * StallTimeoutFactor;
    for (;;) {
        const bool canResume = resumable && stallTimeout.count() > 0;
        exchange.expectBytesBy(canResume ? steadyNow() + stallTimeout : SteadyTime::max());
        const auto error = co_await exchange.readBodySome(m_deadline);
        exchange.expectBytesBy(SteadyTime::max());
        const SteadyTime now = steadyNow();
        if (!exchange.body().empty())
            exchange.endpoint().health().recordActivity(now);
        if (m_load->isPrefilling() && !exchange.body().empty())
            recordFirstByte(exchange, now);
        if (!co_await relayReceivedEvents(exchange))
            co_return AttemptOutcome::CallerDisconnected;
        if (m_isDiscontinued)
            co_return handleBrokenStream("stream_discontinued", exchange, now);
        exchange.recordHeldBytes(m_splitter.rest().capacity());
        if (error != ExchangeError::None)
            co_return handleExchangeError(error, exchange, now);
        if (m_splitter.rest().size() > MaxEventBytes)
            co_return handleExchangeError(ExchangeError::ConnectionBroken, exchange, now);
        if (exchange.isComplete())
            co_return co_await finishStream(exchange);
    }
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::relayReceivedEvents(EndpointExchange &exchange)
{
    const std::string bytes = std::move(exchange.body());
    exchange.body().clear();
    std::string events;
    for (const StreamEvent &event : m_splitter.feed(bytes)) {
        const auto verdict = m_continuity.recordEvent(event);
        m_isDiscontinued = verdict == StreamContinuity::Verdict::Break;
        if (m_isDiscontinued)
            break;
        m_attemptSentData = m_attemptSentData || event.hasData;
        if (m_timer && event.hasData)
            m_timer->recordEvents(1);
        if (verdict == StreamContinuity::Verdict::Repeat)
            continue;
        events += event.bytes;
        if (event.id)
            m_request.resumeAfter = event.id;
    }
    if (events.empty())
        co_return true;
    m_lastEventsAt = steadyNow();
    recordEvents(m_lastEventsAt);
    recordOrigin(exchange.endpoint());
    std::string text;
    if (!m_streamStarted) {
        m_streamStarted = true;
        text = m_session.beginAnswer(exchange.head(), std::nullopt);
    }
    appendPiece(text, events, m_request.acceptsChunks);
    co_return co_await m_session.send(text);
}

void ForwardedRequest::recordOrigin(const EndpointView &view)
{
    if (m_route->retrySafety != RetrySafety::ResumableStream)
        return;
    m_request.software = view.software();
    m_context.streamOrigins.record(m_request.streamId, m_service, view.software(), bootTime());
}

bool ForwardedRequest::isStreamTruncated(EndpointExchange &exchange) const
{
    // Without framing, the end of a connection that carried no event says nothing.
    const bool isEmpty = !m_attemptSentData && exchange.endsWithConnection();
    return isEmpty || m_splitter.isInsideEvent() || m_continuity.isBehind();
}

ForwardedRequest::AttemptOutcome
ForwardedRequest::handleBrokenStream(const char *reason, EndpointExchange &exchange, SteadyTime now)
{
    const auto outcome = handleExchangeError(ExchangeError::ConnectionBroken, exchange, now);
    m_lastReason = reason;
    return outcome;
}

ForwardedRequest::Awaitable<ForwardedRequest::AttemptOutcome>
ForwardedRequest::finishStream(EndpointExchange &exchange)
{
    if (isStreamTruncated(exchange))
        co_return handleBrokenStream("stream_truncated", exchange, steadyNow());
    std::string text;
    if (!m_streamStarted) {
        m_streamStarted = true;
        text = m_session.beginAnswer(exchange.head(), std::nullopt);
    }
    if (!m_splitter.rest().empty())
        appendPiece(text, m_splitter.rest(), m_request.acceptsChunks);
    if (m_request.acceptsChunks)
        text.append(LastChunk);
    co_return co_await m_session.send(text) ? AttemptOutcome::Answered
                                            : AttemptOutcome::CallerDisconnected;
}

} // namespace almondmill
