#include "almondmill/forward/endpointexchange.h"

#include "almondmill/forward/attemptparameters.h"
#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/http/memoryreservation.h"
#include "almondmill/http/messagereader.h"
#include "almondmill/http/timedsocket.h"
#include "almondmill/observe/eventline.h"

namespace almondmill {

namespace {

/// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT). Allows several round
/// trips with a lost packet and stays well below the shortest route timeout.
constexpr std::chrono::milliseconds AcknowledgementTimeout{600};

/// Idle timeout assumed when the endpoint doesn't state one; shorter than common server defaults.
constexpr std::chrono::milliseconds DefaultKeepAlive{4000};

/// Fraction of the idle timeout during which a connection is reused, so that a request is not sent
/// just as the endpoint closes the connection.
constexpr double KeepAliveReuseRatio = 0.7;

/// Largest accepted body of an answer that is buffered completely, on VMs with little memory.
constexpr std::uint64_t MaxAnswerBytes = 4U << 20U;

/// Informational answers, and answers to other requests, that are skipped before the answer.
constexpr int MaxSkippedAnswers = 16;

/// Intervals at which another endpoint is looked for while the current one is silent.
constexpr std::chrono::milliseconds FirstSilenceCheckInterval{100};
constexpr std::chrono::milliseconds LongestSilenceCheckInterval{800};

constexpr unsigned NoContent = 204;
constexpr unsigned NotModified = 304;

std::chrono::milliseconds usableFor(const AnswerMetadata &metadata)
{
    const auto stated = metadata.keepAlive.value_or(DefaultKeepAlive);
    return std::chrono::duration_cast<std::chrono::milliseconds>(stated * KeepAliveReuseRatio);
}

} // namespace

EndpointExchange::EndpointExchange(std::shared_ptr<EndpointView> endpoint, const WireCodec &codec)
    : m_endpoint(std::move(endpoint))
    , m_codec(codec)
    , m_silenceChecks(FirstSilenceCheckInterval, LongestSilenceCheckInterval)
{
    m_parser.emplace();
}

EndpointExchange::~EndpointExchange()
{
    if (!m_socket)
        return;
    expectBytesBy(SteadyTime::max());
    m_socket->abort();
}

EndpointExchange::Awaitable<ExchangeError>
EndpointExchange::connect(boost::asio::any_io_executor executor, SteadyTime deadline)
{
    if (m_socket)
        co_return ExchangeError::None;
    m_socket = m_endpoint->connections().take(std::chrono::steady_clock::now());
    m_isConnectionUsed = m_socket != nullptr;
    if (m_socket)
        co_return ExchangeError::None;
    m_socket = std::make_shared<TimedSocket>(TimedSocket::Socket(executor));
    m_socket->setDeadline(deadline);
    const auto error = co_await m_socket->connect(m_endpoint->address());
    if (m_cancelled)
        co_return ExchangeError::Cancelled;
    if (error)
        co_return ExchangeError::ConnectFailed;
    m_socket->enableDeadPeerDetection(AcknowledgementTimeout);
    co_return ExchangeError::None;
}

EndpointExchange::Awaitable<ExchangeError> EndpointExchange::send(const CallerRequest &request,
                                                                  const AttemptParameters &send,
                                                                  SteadyTime deadline)
{
    m_socket->setDeadline(deadline);
    m_sent = true;
    m_asksForHeadOnly = request.method == "HEAD";
    const std::string head = m_codec.encodeRequest(request, send);
    const auto error = co_await m_socket->write(head, request.body);
    // An endpoint may answer before it has read the complete request and then close the connection;
    // that answer may still be readable although the write failed.
    if (error && m_socket->closeReason() != TimedSocket::CloseReason::None)
        co_return errorOf(error);
    m_isRequestCut = bool(error);
    co_return ExchangeError::None;
}

EndpointExchange::Awaitable<ExchangeError> EndpointExchange::readHead(const std::string &requestId,
                                                                      SteadyTime deadline)
{
    m_socket->setDeadline(deadline);
    for (int skipped = 0; skipped < MaxSkippedAnswers; ++skipped) {
        m_parser.emplace();
        m_parser->body_limit(MaxAnswerBytes);
        m_parser->skip(m_asksForHeadOnly);
        MessageReader<false> reader(*m_socket, *m_parser);
        const auto error = co_await reader.readHead();
        if (error)
            co_return errorOf(error);
        m_metadata = m_codec.decodeAnswer(m_parser->head());
        if (m_metadata.isAmbiguous)
            co_return ExchangeError::ConnectionBroken;
        const bool isInformational = m_metadata.status < 200;
        if (!isInformational && isAnswerTo(requestId))
            co_return ExchangeError::None;
        if (!isInformational)
            recordForeignAnswer(requestId);
        const auto rest = co_await skipBody(reader);
        if (rest)
            co_return errorOf(rest);
    }
    co_return ExchangeError::ConnectionBroken;
}

bool EndpointExchange::isAnswerTo(const std::string &requestId) const
{
    // Endpoints echo the id. Without it, only the first answer of a new connection can belong to no
    // other request.
    if (m_metadata.requestId.empty())
        return !m_isConnectionUsed;
    return m_metadata.requestId == requestId;
}

void EndpointExchange::recordForeignAnswer(const std::string &requestId)
{
    EventLine("answer.dropped")
            .add("id", requestId)
            .add("endpoint", m_endpoint->id())
            .add("answer_id", m_metadata.requestId)
            .add("status", m_metadata.status)
            .add("connection_used", m_isConnectionUsed);
    m_isConnectionUsed = true;
}

EndpointExchange::Awaitable<boost::system::error_code>
EndpointExchange::skipBody(MessageReader<false> &reader)
{
    while (!m_parser->is_done()) {
        const auto error = co_await reader.readBodySome();
        if (error)
            co_return error;
        m_parser->body().clear();
    }
    co_return boost::system::error_code();
}

bool EndpointExchange::isWithoutBody() const
{
    return m_asksForHeadOnly || m_metadata.status == NoContent || m_metadata.status == NotModified;
}

std::optional<std::size_t> EndpointExchange::relayedLength()
{
    if (!m_asksForHeadOnly)
        return m_parser->body().size();
    const auto stated = m_parser->content_length();
    return stated ? std::optional<std::size_t>(*stated) : std::nullopt;
}

void EndpointExchange::limitMemory(std::shared_ptr<HeldMemory> memory, const std::string &requestId)
{
    MemoryReservation::Origin origin{m_endpoint->id(), requestId};
    const auto end = [this] {
        if (m_socket)
            m_socket->abort();
    };
    m_reservation = std::make_unique<MemoryReservation>(
            std::move(memory), MemoryReservation::Kind::UnfinishedAnswer, std::move(origin), end);
}

void EndpointExchange::recordHeldBytes(std::size_t bytes)
{
    m_heldBytes = bytes;
    updateReservation();
}

void EndpointExchange::updateReservation()
{
    if (!m_reservation)
        return;
    const std::size_t bytes = m_parser->body().capacity() + m_socket->inputCapacity() + m_heldBytes;
    m_reservation->resize(isComplete() ? 0 : bytes);
}

void EndpointExchange::expectStream()
{
    m_parser->body_limit(boost::none);
}

EndpointExchange::Awaitable<ExchangeError> EndpointExchange::readBodySome(SteadyTime deadline)
{
    m_socket->setDeadline(deadline);
    MessageReader<false> reader(*m_socket, *m_parser);
    const auto error = co_await reader.readBodySome();
    if (error)
        co_return errorOf(error);
    updateReservation();
    const bool isEvicted = m_reservation && m_reservation->isEvicted();
    // The connection broke while the request was sent, and only its end ends the answer.
    const bool isCut = m_isRequestCut && endsWithConnection() && isComplete();
    co_return isEvicted || isCut ? ExchangeError::ConnectionBroken : ExchangeError::None;
}

EndpointExchange::Awaitable<ExchangeError> EndpointExchange::readBody(SteadyTime deadline)
{
    while (!isComplete()) {
        const auto error = co_await readBodySome(deadline);
        if (error != ExchangeError::None)
            co_return error;
    }
    co_return ExchangeError::None;
}

void EndpointExchange::expectBytesBy(SteadyTime at)
{
    const bool isNever = at == SteadyTime::max();
    m_socket->setStallCheck(isNever ? TimedSocket::StallCheck()
                                    : [this] { return checkSilence(); });
    m_wasSilent = false;
    m_silenceChecks.reset();
    m_socket->checkForStallAt(at);
}

SteadyTime EndpointExchange::checkSilence()
{
    m_wasSilent = true;
    if (isSilent() && m_onSilence)
        m_onSilence();
    if (m_givenUp)
        return SteadyTime::max();
    return std::chrono::steady_clock::now() + m_silenceChecks.next();
}

bool EndpointExchange::isSilent()
{
    // Bytes or an end that have arrived are read next, for example after a pause of this VM.
    return m_wasSilent && m_socket->peek() == TimedSocket::PeekResult::Nothing;
}

void EndpointExchange::giveUp()
{
    m_givenUp = true;
    m_socket->abort();
}

void EndpointExchange::finish(SteadyTime now)
{
    if (m_socket)
        expectBytesBy(SteadyTime::max());
    m_reservation.reset();
    const auto socket = std::move(m_socket);
    m_socket = nullptr;
    if (!socket)
        return;
    const bool reusable = m_parser->is_done() && m_parser->keep_alive() && !m_parser->need_eof()
                          && !m_metadata.closesConnection && m_endpoint->takesRequests()
                          && !socket->isStale();
    if (reusable)
        m_endpoint->connections().put(socket, now, usableFor(m_metadata));
    else
        socket->abort();
}

void EndpointExchange::cancel()
{
    m_cancelled = true;
    if (m_socket)
        m_socket->abort();
}

ExchangeError EndpointExchange::errorOf(const boost::system::error_code &) const
{
    if (m_cancelled)
        return ExchangeError::Cancelled;
    if (m_givenUp)
        return ExchangeError::GivenUp;
    if (m_socket->closeReason() == TimedSocket::CloseReason::Deadline)
        return ExchangeError::DeadlineExceeded;
    return ExchangeError::ConnectionBroken;
}

} // namespace almondmill
