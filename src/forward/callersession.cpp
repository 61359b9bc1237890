#include "almondmill/forward/callersession.h"

#include "almondmill/forward/answerframing.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/requestforwarder.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/http/messagereader.h"
#include "almondmill/http/timedsocket.h"
#include "almondmill/observe/eventline.h"

#include <boost/beast/http/error.hpp>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view HeadEnd = "\r\n\r\n";

constexpr unsigned BadRequest = 400;
constexpr unsigned BodyTooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned BadGateway = 502;

/// A caller that doesn't accept the bytes of one write within this time is disconnected. Longer
/// than any interruption of a link.
constexpr milliseconds SendTimeout{5000};

/// Time to receive the body after the header: 4 MB at 1 Mbit/s, a tenth of the slowest link's
/// 10 Mbit/s.
constexpr milliseconds BodyTimeout{30000};

/// Longest time that bytes sent to a caller may stay unacknowledged (TCP_USER_TIMEOUT).
constexpr milliseconds AcknowledgementTimeout{4000};

/// A caller has this long to receive the last answer of a connection and to close it.
constexpr milliseconds LingerTimeout{1000};

/// Bytes that are dropped meanwhile, so that a caller which sends without end is disconnected.
constexpr std::size_t MaxLingerBytes = std::size_t(1) << 20U;

unsigned statusOf(const boost::system::error_code &error)
{
    namespace http = boost::beast::http;
    if (error == http::error::header_limit)
        return HeaderTooLarge;
    if (error == http::error::body_limit)
        return BodyTooLarge;
    return BadRequest;
}

bool isParseError(const boost::system::error_code &error)
{
    static const auto &category =
            boost::beast::http::make_error_code(boost::beast::http::error::bad_method).category();
    return error.category() == category && error != boost::beast::http::error::partial_message
           && error != boost::beast::http::error::end_of_stream;
}

} // namespace

CallerSession::CallerSession(ForwardingContext &context, RequestForwarder &forwarder,
                             boost::asio::ip::tcp::socket socket)
    : m_context(context)
    , m_forwarder(forwarder)
    , m_socket(std::make_shared<TimedSocket>(std::move(socket)))
{}

CallerSession::~CallerSession() = default;

CallerSession::Awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    m_socket->enableDeadPeerDetection(AcknowledgementTimeout);
    bool isAnswered = false;
    for (;;) {
        CallerRequest request;
        m_idle = true;
        isAnswered = false;
        const Next next = co_await readRequest(request);
        if (next == Next::Close)
            break;
        m_requestId = request.id;
        m_answerBytes = 0;
        m_isServing = true;
        isAnswered = co_await serve(request);
        m_isServing = false;
        m_socket->stopWatching();
        if (isAnswered && m_endsWithConnection) {
            m_endsWithConnection = false;
            m_socket->setResetOnClose(false);
        }
        if (!isAnswered)
            recordUnanswered(m_disconnected ? "caller_left" : m_sendFailed ? "send_failed" : "cut");
        if (!isAnswered || m_closeAnnounced || m_closeRequested)
            break;
        // A request that comes later might not be finished before the process ends.
        if (m_context.isDraining() && !m_socket->hasInput())
            break;
    }
    // A regular end would be the end of a body that ends with its connection.
    if (!m_endsWithConnection)
        m_socket->shutdownSending();
    if (isAnswered)
        co_await m_socket->discardInput(std::chrono::steady_clock::now() + LingerTimeout,
                                        MaxLingerBytes);
    m_socket->abort();
}

CallerSession::Awaitable<bool> CallerSession::serve(CallerRequest &request)
{
    std::string reason;
    try {
        co_return co_await m_forwarder.serve(request, *this);
    } catch (const std::exception &error) {
        reason = error.what();
    }
    m_socket->stopWatching(); // The callback belongs to the request that failed.
    EventLine("request.failed")
            .add("id", request.id)
            .add("reason", reason)
            .add("sent", std::uint64_t(m_answerBytes));
    if (m_answerBytes != 0 || m_disconnected || m_sendFailed)
        co_return false;
    co_return co_await sendOwnAnswer(request, BadGateway, std::nullopt, "internal_error");
}

CallerSession::Awaitable<bool> CallerSession::sendOwnAnswer(const CallerRequest &request,
                                                            unsigned status,
                                                            std::optional<milliseconds> retryAfter,
                                                            std::string_view text)
{
    std::string answer = m_context.adapter->codec().encodeOwnAnswer(status, request.id, retryAfter,
                                                                    text, closesAfterAnswer());
    if (request.method == "HEAD")
        answer.resize(answer.find(HeadEnd) + HeadEnd.size());
    co_return co_await send(answer);
}

CallerSession::Awaitable<bool> CallerSession::send(std::string_view bytes)
{
    if (m_disconnected)
        co_return false;
    m_socket->setDeadline(std::chrono::steady_clock::now() + SendTimeout);
    const auto error = co_await m_socket->write(bytes);
    m_socket->setDeadline(SteadyTime::max());
    m_answerBytes += error ? 0 : bytes.size();
    m_sendFailed = m_sendFailed || error;
    co_return !error;
}

std::string CallerSession::beginAnswer(const HttpHead &head, std::optional<std::size_t> bodyBytes)
{
    m_endsWithConnection = !bodyBytes && !m_acceptsChunks;
    m_closeRequested = m_closeRequested || m_endsWithConnection;
    if (m_endsWithConnection)
        m_socket->setResetOnClose(true);
    const bool isChunked = !bodyBytes && m_acceptsChunks;
    return m_context.adapter->codec().encodeAnswer(head,
                                                   {bodyBytes, isChunked, closesAfterAnswer()});
}

bool CallerSession::closesAfterAnswer()
{
    m_closeAnnounced = m_closeRequested || m_context.isDraining();
    return m_closeAnnounced;
}

void CallerSession::onDisconnect(std::function<void()> callback)
{
    m_socket->watchForClose([weak = weak_from_this(), callback = std::move(callback)] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_disconnected = true;
        callback();
    });
}

void CallerSession::abort()
{
    m_socket->abort();
}

void CallerSession::closeIfIdle()
{
    // Ends the pending read. Bytes that it has already taken are still delivered, so that a request
    // which arrives at this moment is served.
    if (m_idle)
        m_socket->cancelRead();
}

void CallerSession::recordUnfinished() const
{
    if (m_isServing)
        recordUnanswered("process_end");
}

void CallerSession::recordUnanswered(std::string_view cause) const
{
    m_context.requestMetrics.recordUnanswered(cause);
    EventLine("request.unanswered")
            .add("id", m_requestId)
            .add("cause", cause)
            .add("sent", std::uint64_t(m_answerBytes))
            .add("draining", m_context.isDraining());
}

CallerBounds CallerSession::bounds() const
{
    const auto table = m_context.table.snapshot();
    return table ? table->configuration().bounds : CallerBounds();
}

SteadyTime CallerSession::closeIfIdleTooLong(SteadyTime idleSince)
{
    // The configuration may have raised the limit since the wait began.
    const SteadyTime end = idleSince + bounds().idleTimeout;
    if (std::chrono::steady_clock::now() < end)
        return end;
    if (m_socket->peek() == TimedSocket::PeekResult::Nothing)
        m_socket->abort();
    return SteadyTime::max(); // What has arrived ends the wait.
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::readRequest(CallerRequest &request)
{
    const CallerBounds limits = bounds();
    const auto now = std::chrono::steady_clock::now;
    if (m_socket->input().empty()) {
        const SteadyTime idleSince = now();
        m_socket->setStallCheck([this, idleSince] { return closeIfIdleTooLong(idleSince); });
        m_socket->checkForStallAt(idleSince + limits.idleTimeout);
        const auto error = co_await m_socket->readSome();
        m_socket->checkForStallAt(SteadyTime::max());
        if (error && !m_socket->hasInput())
            co_return Next::Close;
    }
    m_idle = false;
    RequestParser parser;
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    MessageReader<true> reader(*m_socket, parser);
    m_socket->setDeadline(now() + limits.headerTimeout);
    const auto error = co_await reader.readHead();
    if (error) {
        if (m_socket->closeReason() == TimedSocket::CloseReason::None && isParseError(error))
            co_return co_await refuse(statusOf(error), "the header can't be read");
        co_return Next::Close;
    }
    request = m_context.adapter->codec().decodeRequest(parser.head());
    m_acceptsChunks = request.acceptsChunks;
    m_closeRequested = !parser.keep_alive();
    if (parser.head().fields.count("Host") != 1)
        co_return co_await refuse(BadRequest, "exactly one Host is needed");
    const Next next = co_await readBody(parser, limits);
    m_socket->setDeadline(SteadyTime::max());
    request.body = std::move(parser.body());
    co_return next;
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::readBody(RequestParser &parser,
                                                                      const CallerBounds &limits)
{
    if (parser.is_done())
        co_return Next::Serve;
    const auto length = parser.content_length();
    if (length && *length > limits.maxBodyBytes)
        co_return co_await refuse(BodyTooLarge, "the body is too large");
    // HTTP/1.0 has neither chunks nor interim answers.
    if (parser.head().fields.find("Expect") && m_acceptsChunks) {
        if (!co_await send("HTTP/1.1 100 Continue\r\n\r\n"))
            co_return Next::Close;
    }
    m_socket->setDeadline(std::chrono::steady_clock::now() + BodyTimeout);
    MessageReader<true> reader(*m_socket, parser);
    const auto error = co_await reader.readBody();
    if (!error)
        co_return Next::Serve;
    if (m_socket->closeReason() == TimedSocket::CloseReason::None && isParseError(error))
        co_return co_await refuse(statusOf(error), "the body can't be read");
    co_return Next::Close;
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::refuse(unsigned status,
                                                                    std::string_view text)
{
    EventLine("request.malformed").add("status", status).add("reason", text);
    const std::string answer =
            m_context.adapter->codec().encodeOwnAnswer(status, {}, std::nullopt, text, true);
    co_await send(answer);
    m_socket->shutdownSending();
    co_await m_socket->discardInput(std::chrono::steady_clock::now() + LingerTimeout,
                                    MaxLingerBytes);
    co_return Next::Close;
}

} // namespace almondmill
