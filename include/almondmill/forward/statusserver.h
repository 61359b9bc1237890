#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace almondmill {

/// Minimal HTTP server for operators' requests and the load balancer's readiness checks.
class StatusServer
{
public:
    struct Reply
    {
        unsigned status = 200;
        std::string body;
    };

    /// Returns the reply for a request path; called on the event loop and must not block.
    using Handler = std::function<Reply(const std::string &path)>;

    StatusServer(boost::asio::io_context &loop, std::string address, Handler handler);

    /// Binds the address and starts serving.
    void start();
    void stop();

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &m_loop;
    std::string m_address;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

} // namespace almondmill
