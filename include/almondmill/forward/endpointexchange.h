#pragma once

#include "almondmill/forward/answerfacts.h"
#include "almondmill/http/messageparser.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace almondmill {

class EndpointView;
class TimedSocket;
class WireCodec;
struct CallerRequest;
struct EndpointSend;

/// How far an exchange came when it failed.
enum class ExchangeError {
    None,
    NoConnection, ///< Nothing was sent.
    Broken,       ///< The connection ended or brought bytes that are no answer; it may have run.
    TooLate,      ///< The deadline passed; it may have run.
    Cancelled,    ///< `cancel` was called; it may have run.
};

/// One sending of a request to one endpoint, and its answer. Belongs to the event loop.
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

    /// Head and facts of the answer; empty before `readHead` succeeded.
    const HttpHead &head() const { return m_parser->head(); }
    const AnswerFacts &facts() const { return m_facts; }

    /// Bytes of the answer's body that were read and not yet taken.
    std::string &body() { return m_parser->body(); }
    bool isComplete() { return m_parser->is_done(); }

    /// Whether any byte was sent.
    bool wasSent() const { return m_sent; }

    /// Takes a kept connection or makes one by `deadline`.
    Awaitable<ExchangeError> connect(boost::asio::any_io_executor executor, SteadyTime deadline);

    Awaitable<ExchangeError> send(const CallerRequest &request, const EndpointSend &send,
                                  SteadyTime deadline);

    /// Reads up to the answer's body. Answers to other requests, late ones of an earlier request on
    /// the same connection, are dropped.
    Awaitable<ExchangeError> readHead(const std::string &requestId, SteadyTime deadline);

    /// Reads until there is more of the body or it is complete.
    Awaitable<ExchangeError> readBodySome(SteadyTime deadline);
    Awaitable<ExchangeError> readBody(SteadyTime deadline);

    /// Keeps the connection if its answer is complete and it can take another request; else closes.
    void finish(SteadyTime now);

    /// Ends the exchange from a callback; the operation under way returns `Cancelled`.
    void cancel();

private:
    ExchangeError errorOf(const boost::system::error_code &error) const;

    std::shared_ptr<EndpointView> m_endpoint;
    const WireCodec &m_codec;
    std::shared_ptr<TimedSocket> m_socket;
    std::optional<AnswerParser> m_parser;
    AnswerFacts m_facts;
    bool m_sent = false;
    bool m_cancelled = false;
};

} // namespace almondmill
