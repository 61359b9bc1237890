#include "almondmill/forward/statusserver.h"

#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/messagereader.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <absl/strings/str_cat.h>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Longest time to receive the next request on a connection. The load balancer checks readiness
/// every second.
constexpr std::chrono::seconds IdleTimeout{10};

/// Delay before accepting again after an error, which is usually a lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

StatusServer::StatusServer(asio::io_context &loop, std::string address, Handler handler)
    : m_loop(loop)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
    , m_acceptor(loop)
{}

void StatusServer::start()
{
    const auto address = parseSocketAddress(m_address);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    startSupervised(m_loop, "status.accept", [this] { return accept(); });
}

void StatusServer::stop()
{
    boost::system::error_code ignored; // The acceptor may be closed already.
    m_acceptor.close(ignored);
}

asio::awaitable<void> StatusServer::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(m_loop, serve(std::move(socket)), asio::detached);
            continue;
        }
        if (!m_acceptor.is_open())
            co_return;
        EventLine("status.accept_failed").add("reason", error.message());
        co_await sleepFor(m_loop, AcceptRetryDelay);
    }
}

asio::awaitable<void> StatusServer::serve(asio::ip::tcp::socket plain)
{
    const auto socket = std::make_shared<TimedSocket>(std::move(plain));
    for (bool keepOpen = true; keepOpen;) {
        socket->setDeadline(std::chrono::steady_clock::now() + IdleTimeout);
        RequestParser parser;
        MessageReader<true> reader(*socket, parser);
        auto error = co_await reader.readHead();
        if (!error)
            error = co_await reader.readBody();
        if (error)
            break;
        const Reply reply = m_handler(parser.head().target);
        keepOpen = parser.keep_alive();
        const std::string text =
                absl::StrCat("HTTP/1.1 ", reply.status, reply.status == 200 ? " OK" : " Not OK",
                             "\r\nContent-Type: text/plain\r\nContent-Length: ", reply.body.size(),
                             keepOpen ? "" : "\r\nConnection: close", "\r\n\r\n", reply.body);
        if (co_await socket->write(text))
            break;
    }
    socket->abort();
}

} // namespace almondmill
