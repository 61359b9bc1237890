#pragma once

#include "almondmill/http/httphead.h"
#include "almondmill/kernel/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

class TimedSocket;

/// A whole answer.
struct HttpReply
{
    HttpHead head;
    std::string body;
};

/// No whole answer came.
struct HttpFailure
{
    std::string reason;
    bool sent = false; ///< Whether any byte of the request may have reached the server.
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

/// Calls one server, on connections that it keeps open between calls. Belongs to the event loop.
class HttpClient
{
public:
    HttpClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint server);

    /// One call. `headers` are whole lines with their line ends, after the request line and Host.
    boost::asio::awaitable<HttpOutcome> call(std::string method, std::string target,
                                             std::string headers, std::string body,
                                             SteadyTime deadline);

private:
    std::shared_ptr<TimedSocket> takeIdle();
    boost::asio::awaitable<HttpOutcome> exchange(std::shared_ptr<TimedSocket> socket,
                                                 std::string request);
    void keep(std::shared_ptr<TimedSocket> socket);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_server;
    std::string m_host;
    std::vector<std::shared_ptr<TimedSocket>> m_idle;
};

} // namespace almondmill
