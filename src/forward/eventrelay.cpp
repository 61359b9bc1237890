// The part of a forwarded request that relays event streams.

#include "forwardedrequest.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/kernel/abslview.h"
#include "almondmill/kernel/steadynow.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace {

/// Of the longest pause that is in time: after that a silent stream is resumed elsewhere.
constexpr int PatienceInPauses = 3;

constexpr std::string_view LastChunk = "0\r\n\r\n";

void appendChunk(std::string &text, std::string_view bytes)
{
    absl::StrAppend(&text, absl::Hex(bytes.size()), "\r\n", abslView(bytes), "\r\n");
}

} // namespace

ForwardedRequest::Awaitable<ForwardedRequest::End>
ForwardedRequest::relayEvents(EndpointExchange &exchange)
{
    m_splitter = EventSplitter();
    const bool resumable = m_route->repetition == Repetition::ResumableStream;
    const auto patience = m_route->longestPause * PatienceInPauses;
    for (;;) {
        const SteadyTime asked = steadyNow();
        const bool elsewhere = resumable && hasAttemptsLeft() && patience.count() > 0;
        const auto error = co_await exchange.readBodySome(
                elsewhere ? attemptDeadline(patience, asked) : m_deadline);
        const SteadyTime now = steadyNow();
        if (!exchange.body().empty())
            exchange.endpoint().health().heard(now);
        if (m_unread != 0 && !exchange.body().empty())
            noteFirstByte(exchange, now);
        if (!co_await relayNewEvents(exchange))
            co_return End::CallerGone;
        if (error != ExchangeError::None)
            co_return endOf(error, exchange, now);
        if (exchange.isComplete())
            co_return co_await endStream(exchange) ? End::Answered : End::CallerGone;
    }
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::relayNewEvents(EndpointExchange &exchange)
{
    const std::string bytes = std::move(exchange.body());
    exchange.body().clear();
    std::string events;
    for (const StreamEvent &event : m_splitter.feed(bytes)) {
        events += event.bytes;
        if (event.id)
            m_request.resumeAfter = event.id;
    }
    if (events.empty())
        co_return true;
    std::string text;
    if (!m_streamBegun) {
        m_streamBegun = true;
        text = m_context.adapter->codec().encodeAnswer(exchange.head(), std::nullopt,
                                                       m_session.closesAfterAnswer());
    }
    appendChunk(text, events);
    co_return co_await m_session.send(text);
}

ForwardedRequest::Awaitable<bool> ForwardedRequest::endStream(EndpointExchange &exchange)
{
    std::string text;
    if (!m_streamBegun) {
        m_streamBegun = true;
        text = m_context.adapter->codec().encodeAnswer(exchange.head(), std::nullopt,
                                                       m_session.closesAfterAnswer());
    }
    if (!m_splitter.rest().empty())
        appendChunk(text, m_splitter.rest());
    text.append(LastChunk);
    co_return co_await m_session.send(text);
}

} // namespace almondmill
