#include "almondmill/forward/callersession.h"

#include "almondmill/forward/answerframing.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/requestforwarder.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/http/messagereader.h"
#include "almondmill/http/timedsocket.h"
#include "almondmill/kernel/releasememory.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/route/keyedaccount.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view HeadEnd = "\r\n\r\n";

constexpr unsigned BadRequest = 400;
constexpr unsigned BodyTooLarge = 413;
constexpr unsigned HeaderTooLarge = 431;
constexpr unsigned NotImplemented = 501;
constexpr unsigned BadGateway = 502;
constexpr unsigned ServiceUnavailable = 503;

/// When a caller whose memory was needed for others may come back.
constexpr milliseconds RetryAfterEviction{1000};

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

unsigned statusOf(const boost::system::error_code &error, const RequestParser &parser)
{
    namespace http = boost::beast::http;
    if (parser.framing() == MessageFraming::UnsupportedCoding)
        return NotImplemented;
    if (error == http::error::header_limit)
        return HeaderTooLarge;
    if (error == http::error::body_limit)
        return BodyTooLarge;
    return BadRequest;
}

std::string addressOf(const boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    const auto peer = socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
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
    , m_callerAddress(addressOf(socket))
    , m_socket(std::make_shared<TimedSocket>(std::move(socket)))
    , m_memory(context.heldMemory, MemoryReservation::Kind::UnfinishedRequest,
               {m_callerAddress, {}}, [this] { onEviction(); })
    , m_waitingSince(std::chrono::steady_clock::now())
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
        recordServedBytes(request);
        if (m_memory.isEvicted()) {
            releaseMemory(request.body);
            co_await refuseEvicted();
            break;
        }
        m_isServing = true;
        isAnswered = co_await serve(request);
        m_isServing = false;
        m_onDisconnect = nullptr;
        m_requestBytes = 0;
        m_memory.resize(0);
        m_socket->stopWatching();
        if (isAnswered && m_endsWithConnection) {
            m_endsWithConnection = false;
            m_socket->setResetOnClose(false);
        }
        if (!isAnswered)
            recordUnanswered(m_memory.isEvicted() ? "memory"
                             : m_disconnected     ? "caller_left"
                             : m_sendFailed       ? "send_failed"
                                                  : "cut");
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
    m_onDisconnect = nullptr; // The callback belongs to the request that failed.
    m_socket->stopWatching();
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

CallerSession::Awaitable<bool> CallerSession::send(std::string_view head, std::string_view body)
{
    const std::size_t bytes = head.size() + body.size();
    m_memory.resize(m_requestBytes + bytes);
    if (m_disconnected)
        co_return false;
    m_socket->setDeadline(std::chrono::steady_clock::now() + SendTimeout);
    const auto error = co_await m_socket->write(head, body);
    m_socket->setDeadline(SteadyTime::max());
    m_memory.resize(m_requestBytes);
    m_answerBytes += error ? 0 : bytes;
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
    m_onDisconnect = std::move(callback);
    m_socket->watchForClose([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_disconnected = true;
        if (self->m_onDisconnect)
            self->m_onDisconnect();
    });
}

void CallerSession::onEviction()
{
    if (!m_isServing) {
        // Freed here and not when this session runs next, as others go on reading until then.
        if (m_parser)
            releaseMemory(m_parser->body());
        m_socket->stopReading();
        return;
    }
    // The request may have been forwarded, and an answer may have begun.
    m_disconnected = true;
    m_socket->abort();
    if (m_onDisconnect)
        m_onDisconnect();
}

std::string CallerSession::originOf(const std::string &apiKey) const
{
    const auto table = m_context.table.snapshot();
    const KeyedAccount *account = table ? table->accountOf(apiKey) : nullptr;
    return account ? account->name : m_callerAddress;
}

void CallerSession::recordReadBytes(RequestParser &parser)
{
    if (m_idle)
        return; // What the kernel has is counted when it is read.
    m_memory.resize(m_requestBytes + m_socket->inputCapacity() + parser.body().capacity()
                    + parser.head().fields.capacity());
}

void CallerSession::recordServedBytes(const CallerRequest &request)
{
    m_requestBytes = request.capacity() + m_socket->inputCapacity();
    m_memory.resize(m_requestBytes);
    m_memory.hold(MemoryReservation::Kind::Request, {originOf(request.apiKey), request.id});
}

SteadyTime CallerSession::waitingSince() const
{
    return m_isServing || !m_socket->isOpen() || m_memory.isEvicted()
                           || (m_idle && m_socket->hasInput())
                   ? SteadyTime::max()
                   : m_waitingSince;
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
    RequestParser parser;
    m_waitingSince = std::chrono::steady_clock::now();
    m_memory.hold(MemoryReservation::Kind::UnfinishedRequest, {m_callerAddress, {}});
    m_socket->onInput([this, &parser] { recordReadBytes(parser); });
    m_parser = &parser;
    const Next next = co_await readRequest(parser, request);
    m_parser = nullptr;
    m_socket->onInput(nullptr);
    if (!m_memory.isEvicted())
        co_return next;
    releaseMemory(parser.body());
    releaseMemory(request.body);
    if (m_socket->isOpen())
        co_await refuseEvicted();
    co_return Next::Close;
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::refuseEvicted()
{
    m_socket->resumeReading();
    co_return co_await sendLastAnswer(m_context.adapter->codec().encodeOwnAnswer(
            ServiceUnavailable, m_memory.origin().request, RetryAfterEviction, "memory_exhausted",
            true));
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::readRequest(RequestParser &parser,
                                                                         CallerRequest &request)
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
    recordReadBytes(parser);
    parser.header_limit(limits.maxHeaderBytes);
    parser.body_limit(limits.maxBodyBytes);
    MessageReader<true> reader(*m_socket, parser);
    m_socket->setDeadline(now() + limits.headerTimeout);
    const auto error = co_await reader.readHead();
    if (error) {
        if (m_socket->closeReason() == TimedSocket::CloseReason::None && isParseError(error))
            co_return co_await refuse(statusOf(error, parser), "the header can't be read");
        co_return Next::Close;
    }
    if (m_memory.isEvicted())
        co_return Next::Close;
    request = m_context.adapter->codec().decodeRequest(parser.head());
    m_requestBytes = request.capacity();
    m_memory.hold(MemoryReservation::Kind::UnfinishedRequest,
                  {originOf(request.apiKey), request.id});
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
    const auto error = co_await readWholeBody(parser);
    if (!error)
        co_return Next::Serve;
    releaseMemory(parser.body()); // Not needed while the refusal is sent.
    if (m_socket->closeReason() == TimedSocket::CloseReason::None && isParseError(error))
        co_return co_await refuse(statusOf(error, parser), "the body can't be read");
    co_return Next::Close;
}

CallerSession::Awaitable<boost::system::error_code>
CallerSession::readWholeBody(RequestParser &parser)
{
    MessageReader<true> reader(*m_socket, parser);
    while (!parser.is_done()) {
        const auto error = co_await reader.readBodySome();
        if (error)
            co_return error;
        recordReadBytes(parser);
        if (m_memory.isEvicted())
            co_return boost::asio::error::operation_aborted;
    }
    co_return boost::system::error_code();
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::refuse(unsigned status,
                                                                    std::string_view text)
{
    EventLine("request.malformed").add("status", status).add("reason", text);
    co_return co_await sendLastAnswer(
            m_context.adapter->codec().encodeOwnAnswer(status, {}, std::nullopt, text, true));
}

CallerSession::Awaitable<CallerSession::Next> CallerSession::sendLastAnswer(std::string answer)
{
    co_await send(answer);
    m_socket->shutdownSending();
    co_await m_socket->discardInput(std::chrono::steady_clock::now() + LingerTimeout,
                                    MaxLingerBytes);
    co_return Next::Close;
}

} // namespace almondmill
