#include "almondmill/http/httpclient.h"

#include "almondmill/http/hopbyhopfields.h"
#include "almondmill/http/messagereader.h"
#include "almondmill/http/timedsocket.h"

#include <boost/lexical_cast.hpp>

#include <optional>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Maximum time that sent data may remain unacknowledged. It allows several round trips with a lost
/// packet and is well below the deadline of a call.
constexpr std::chrono::milliseconds UnacknowledgedDataTimeout{700};

/// Idle connections kept for reuse: enough for a concurrent watch, read and write, plus one spare.
constexpr std::size_t MaxIdleConnections = 4;

/// Interim answers that are skipped before the answer.
constexpr int MaxInterimAnswers = 16;

constexpr unsigned Ok = 200;

/// Reads an answer. Interim answers say nothing about what became of the request.
asio::awaitable<boost::system::error_code>
readAnswer(TimedSocket &socket, std::optional<AnswerParser> &parser, std::uint64_t maxAnswerBytes)
{
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        parser.emplace();
        parser->body_limit(maxAnswerBytes);
        MessageReader<false> reader(socket, *parser);
        auto error = co_await reader.readHead();
        if (!error)
            error = co_await reader.readBody();
        if (error || parser->head().status >= Ok)
            co_return error;
    }
    co_return boost::beast::http::error::bad_status;
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor executor, asio::ip::tcp::endpoint server,
                       std::uint64_t maxAnswerBytes)
    : m_executor(std::move(executor))
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_server(std::move(server))
    , m_host(boost::lexical_cast<std::string>(m_server))
{}

asio::awaitable<bool> HttpClient::connect(SteadyTime deadline)
{
    Connection connection = co_await idleOrNewConnection(deadline);
    if (connection.error)
        co_return false;
    returnToPool(std::move(connection.socket));
    co_return true;
}

asio::awaitable<HttpClient::Connection> HttpClient::idleOrNewConnection(SteadyTime deadline)
{
    Connection connection;
    connection.socket = takeIdleConnection();
    if (connection.socket)
        co_return connection;
    connection.socket = std::make_shared<TimedSocket>(asio::ip::tcp::socket(m_executor));
    connection.socket->setDeadline(deadline);
    connection.error = co_await connection.socket->connect(m_server);
    if (!connection.error)
        connection.socket->enableDeadPeerDetection(UnacknowledgedDataTimeout);
    co_return connection;
}

asio::awaitable<HttpOutcome> HttpClient::call(std::string method, std::string target,
                                              std::string headers, std::string body,
                                              SteadyTime deadline)
{
    std::string request = method + " " + target + " HTTP/1.1\r\nHost: " + m_host + "\r\n" + headers;
    if (!body.empty())
        request += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    request += "\r\n" + body;

    Connection connection = co_await idleOrNewConnection(deadline);
    if (connection.error)
        co_return HttpFailure{"connect: " + connection.error.message(), false};
    connection.socket->setDeadline(deadline);
    co_return co_await exchange(std::move(connection.socket), std::move(request));
}

asio::awaitable<HttpOutcome> HttpClient::exchange(std::shared_ptr<TimedSocket> socket,
                                                  std::string request)
{
    const auto sent = co_await socket->write(request);
    if (sent)
        co_return HttpFailure{"send: " + sent.message(), true};
    std::optional<AnswerParser> parser;
    const auto error = co_await readAnswer(*socket, parser, m_maxAnswerBytes);
    if (error) {
        const bool timedOut = socket->closeReason() == TimedSocket::CloseReason::Deadline;
        socket->abort();
        co_return HttpFailure{timedOut ? "timeout" : "receive: " + error.message(), true,
                              error == boost::beast::http::error::body_limit};
    }
    HttpReply reply{parser->head(), std::move(parser->body())};
    if (parser->keep_alive() && !hasConnectionOption(reply.head.fields, "close"))
        returnToPool(std::move(socket));
    co_return reply;
}

std::shared_ptr<TimedSocket> HttpClient::takeIdleConnection()
{
    while (!m_idleConnections.empty()) {
        auto socket = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
        if (!socket->isStale())
            return socket;
    }
    return nullptr;
}

void HttpClient::returnToPool(std::shared_ptr<TimedSocket> socket)
{
    socket->setDeadline(SteadyTime::max());
    if (m_idleConnections.size() < MaxIdleConnections)
        m_idleConnections.push_back(std::move(socket));
}

} // namespace almondmill
