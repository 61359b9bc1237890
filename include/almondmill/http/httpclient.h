#pragma once

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

class TimedSocket;

/// A complete response.
struct HttpReply
{
    HttpHead head;
    std::string body;
};

/// No complete response was received.
struct HttpFailure
{
    std::string reason;
    bool sent = false; ///< Whether the server may have received any part of the request.
    bool isAnswerTooLarge = false; ///< The answer's body was longer than the client reads.
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

/// HTTP client of one server with a pool of persistent connections. Used on the event loop only.
class HttpClient
{
public:
    /// Largest answer of the platform's store. A page has about 1 MB, or one object of that size;
    /// changes that take more are listed instead.
    static constexpr std::uint64_t MaxStoreAnswerBytes = 4U << 20U;

    /// A call fails whose answer has a body of more than `maxAnswerBytes`.
    HttpClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server,
               std::uint64_t maxAnswerBytes = MaxStoreAnswerBytes);

    /// Opens a connection for the next call, unless an idle one can be reused. A caller whose
    /// permission to send may run out checks it between this and the call, which then sends at
    /// once. Returns false when no connection was established before `deadline`.
    boost::asio::awaitable<bool> connect(SteadyTime deadline);

    /// Sends one request. `headers` are complete header lines, each ending with CRLF; they follow
    /// the request line and the Host field.
    boost::asio::awaitable<HttpOutcome> call(std::string method, std::string target,
                                             std::string headers, std::string body,
                                             SteadyTime deadline);

private:
    /// A connection, or the error of the attempt to open one.
    struct Connection
    {
        std::shared_ptr<TimedSocket> socket;
        boost::system::error_code error;
    };

    boost::asio::awaitable<Connection> idleOrNewConnection(SteadyTime deadline);
    std::shared_ptr<TimedSocket> takeIdleConnection();
    boost::asio::awaitable<HttpOutcome> exchange(std::shared_ptr<TimedSocket> socket,
                                                 std::string request);
    void returnToPool(std::shared_ptr<TimedSocket> socket);

    boost::asio::any_io_executor m_executor;
    const std::uint64_t m_maxAnswerBytes;
    boost::asio::ip::tcp::endpoint m_server;
    std::string m_host;
    std::vector<std::shared_ptr<TimedSocket>> m_idleConnections;
};

} // namespace almondmill
