#include "httplistener.h"

#include "spawn.h"

#include "almondmill/forward/socketaddress.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/lexical_cast.hpp>

#include <algorithm>
#include <vector>

namespace almondmill::standin {

namespace asio = boost::asio;

struct HttpListener::State
{
    asio::io_context &loop;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    std::vector<std::weak_ptr<HttpConnection>> connections;

    void add(const std::shared_ptr<HttpConnection> &connection)
    {
        std::erase_if(connections, [](const auto &known) { return known.expired(); });
        connections.push_back(connection);
    }
};

HttpListener::HttpListener(asio::io_context &loop, const std::string &address, Handler handler)
    : m_state(std::make_shared<State>(
            State{loop, {loop, parseSocketAddress(address)}, std::move(handler), {}}))
{
    spawn(loop, accept(m_state));
}

HttpListener::~HttpListener()
{
    crash();
}

std::string HttpListener::address() const
{
    return boost::lexical_cast<std::string>(m_state->acceptor.local_endpoint());
}

void HttpListener::crash()
{
    boost::system::error_code ignored; // The acceptor may be closed already.
    m_state->acceptor.close(ignored);
    for (const auto &known : m_state->connections) {
        if (const auto connection = known.lock())
            connection->reset();
    }
}

asio::awaitable<void> HttpListener::accept(std::shared_ptr<State> state)
{
    for (;;) {
        boost::system::error_code error;
        auto socket = co_await state->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
        if (!state->acceptor.is_open())
            co_return;
        if (error)
            continue;
        const auto connection = std::make_shared<HttpConnection>(std::move(socket));
        state->add(connection);
        spawn(state->loop, serve(state, connection));
    }
}

asio::awaitable<void> HttpListener::serve(std::shared_ptr<State> state,
                                          std::shared_ptr<HttpConnection> connection)
{
    HttpRequest request;
    while (co_await connection->read(request)) {
        const bool keep = co_await state->handler(request, *connection);
        if (!keep || !request.keep_alive())
            break;
    }
    connection->close();
}

} // namespace almondmill::standin
