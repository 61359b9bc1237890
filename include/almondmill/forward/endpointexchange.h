#pragma once

#include "almondmill/forward/answermetadata.h"
#include "almondmill/http/messageparser.h"
#include "almondmill/kernel/growinginterval.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondmill {

class EndpointView;
class HeldMemory;
class MemoryReservation;
class TimedSocket;
class WireCodec;
struct CallerRequest;
struct AttemptParameters;
template<bool IsRequest>
class MessageReader;

/// Why an exchange failed, and whether the endpoint may have run the request.
enum class ExchangeError {
    None,
    ConnectFailed,    ///< No connection could be made; nothing was sent.
    ConnectionBroken, ///< The connection closed or the answer could not be parsed; it may have run.
    DeadlineExceeded, ///< The deadline passed; it may have run.
    GivenUp,          ///< `giveUp` was called; it may have run.
    Cancelled,        ///< `cancel` was called; it may have run.
};

/// One attempt to send a request to one endpoint and to read its answer. Must be used only on the
/// event loop.
class EndpointExchange
{
public:
    template<typename T>
    using Awaitable = boost::asio::awaitable<T>;

    EndpointExchange(std::shared_ptr<EndpointView> endpoint, const WireCodec &codec);
    ~EndpointExchange();
    EndpointExchange(const EndpointExchange &) = delete;
    EndpointExchange &operator=(const EndpointExchange &) = delete;

    EndpointView &endpoint() { return *m_endpoint; }
    const std::shared_ptr<EndpointView> &sharedEndpoint() const { return m_endpoint; }

    /// Head of the answer and its decoded fields; empty until `readHead` succeeds.
    const HttpHead &head() const { return m_parser->head(); }
    const AnswerMetadata &metadata() const { return m_metadata; }

    /// Bytes of the answer's body that were read and not yet consumed.
    std::string &body() { return m_parser->body(); }
    bool isComplete() { return m_parser->is_done(); }

    /// Whether the answer has neither a length nor chunks, so that only the end of its connection
    /// ends it.
    bool endsWithConnection() const { return m_parser->need_eof(); }

    /// Whether sending started, so that the endpoint may have received the request.
    bool wasSent() const { return m_sent; }

    /// Takes a connection from the pool or opens a new one before `deadline`. Does nothing if the
    /// exchange is connected.
    Awaitable<ExchangeError> connect(boost::asio::any_io_executor executor, SteadyTime deadline);

    Awaitable<ExchangeError> send(const CallerRequest &request, const AttemptParameters &send,
                                  SteadyTime deadline);

    /// Reads the head of the answer. Discards informational answers and answers that may belong to
    /// another request, such as a late answer to an earlier request on the same connection.
    Awaitable<ExchangeError> readHead(const std::string &requestId, SteadyTime deadline);

    /// Whether the answer has no body, because of the request's method or the answer's status.
    bool isWithoutBody() const;

    /// Length of the body as the relayed head states it: that of the bytes that were read or, for
    /// an answer to HEAD, the one that the endpoint stated.
    std::optional<std::size_t> relayedLength();

    /// Counts the answer to the request in the memory that the process holds. When it is evicted,
    /// the pending or the next operation returns `ConnectionBroken`.
    void limitMemory(std::shared_ptr<HeldMemory> memory, const std::string &requestId);

    /// Records the bytes of the answer that were taken from `body` and are still held, because a
    /// piece of the answer is incomplete.
    void recordHeldBytes(std::size_t bytes);

    /// Lifts the limit of the body's size, for an answer whose bytes are consumed as they arrive.
    void expectStream();

    /// Reads until more body bytes have arrived or the answer is complete.
    Awaitable<ExchangeError> readBodySome(SteadyTime deadline);
    Awaitable<ExchangeError> readBody(SteadyTime deadline);

    /// Sets the function that is called while the endpoint is silent. It may call `giveUp`; until
    /// then the connection stays open, so that a late answer is still received.
    void onSilence(std::function<void()> callback) { m_onSilence = std::move(callback); }

    /// Calls that function when the endpoint has sent nothing until `at`, and from then on at
    /// growing intervals. Each call replaces the previous time; SteadyTime::max() means never.
    void expectBytesBy(SteadyTime at);

    /// Whether the endpoint has sent nothing until the time passed to `expectBytesBy`, nor since.
    bool isSilent();

    /// Closes the connection; the pending operation returns `GivenUp`.
    void giveUp();

    /// Returns the connection to the pool if the answer is complete and the connection can be
    /// reused; otherwise closes it.
    void finish(SteadyTime now);

    /// Aborts the exchange from a callback; the pending operation returns `Cancelled`.
    void cancel();

private:
    bool isAnswerTo(const std::string &requestId) const;
    void recordForeignAnswer(const std::string &requestId);
    Awaitable<boost::system::error_code> skipBody(MessageReader<false> &reader);
    SteadyTime checkSilence();
    void updateReservation();
    ExchangeError errorOf(const boost::system::error_code &error) const;

    std::shared_ptr<EndpointView> m_endpoint;
    const WireCodec &m_codec;
    std::shared_ptr<TimedSocket> m_socket;
    std::optional<AnswerParser> m_parser;
    AnswerMetadata m_metadata;
    std::unique_ptr<MemoryReservation> m_reservation; ///< Null without a limit of memory.
    std::size_t m_heldBytes = 0;
    std::function<void()> m_onSilence;
    GrowingInterval m_silenceChecks;
    bool m_isConnectionUsed = false; ///< Another request or answer went over the connection before.
    bool m_sent = false;
    bool m_isRequestCut = false;    ///< The connection broke before the request was sent whole.
    bool m_asksForHeadOnly = false; ///< The request's method is HEAD.
    bool m_cancelled = false;
    bool m_wasSilent = false; ///< When the time passed to `expectBytesBy` was reached.
    bool m_givenUp = false;
};

} // namespace almondmill
