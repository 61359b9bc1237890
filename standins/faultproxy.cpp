#include "faultproxy.h"

#include "spawn.h"

#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/lexical_cast.hpp>

#include <string>
#include <vector>

namespace almondmill::standin {

namespace asio = boost::asio;

using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

/// Interval at which a held-back direction is checked.
constexpr std::chrono::milliseconds PollInterval{20};

constexpr std::size_t BufferBytes = 16384;

} // namespace

struct FaultProxy::Link
{
    Tcp::socket caller;
    Tcp::socket target;

    void reset()
    {
        ErrorCode ignored; // The sockets are closed even if an option cannot be set.
        for (Tcp::socket *socket : {&caller, &target}) {
            if (!socket->is_open())
                continue;
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
            socket->close(ignored);
        }
    }
};

struct FaultProxy::State
{
    asio::io_context &loop;
    Tcp::acceptor acceptor;
    Tcp::endpoint target;
    Direction toTarget;
    Direction toCaller;
    std::vector<std::weak_ptr<Link>> links;
};

FaultProxy::FaultProxy(asio::io_context &loop, const std::string &listen, const std::string &target)
    : m_state(std::make_shared<State>(State{
            loop, {loop, parseSocketAddress(listen)}, parseSocketAddress(target), {}, {}, {}}))
{
    spawn(loop, accept(m_state));
}

FaultProxy::~FaultProxy()
{
    ErrorCode ignored; // The acceptor may be closed already.
    m_state->acceptor.close(ignored);
    resetAll();
}

std::string FaultProxy::address() const
{
    return boost::lexical_cast<std::string>(m_state->acceptor.local_endpoint());
}

void FaultProxy::setToTarget(Direction direction)
{
    m_state->toTarget = direction;
}

void FaultProxy::setToCaller(Direction direction)
{
    m_state->toCaller = direction;
}

void FaultProxy::heal()
{
    m_state->toTarget = {};
    m_state->toCaller = {};
}

void FaultProxy::resetAll()
{
    for (const auto &known : m_state->links) {
        if (const auto link = known.lock())
            link->reset();
    }
    m_state->links.clear();
}

asio::awaitable<void> FaultProxy::accept(std::shared_ptr<State> state)
{
    for (;;) {
        ErrorCode error;
        auto socket = co_await state->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
        if (!state->acceptor.is_open())
            co_return;
        if (error)
            continue;
        const auto link = std::make_shared<Link>(Link{std::move(socket), Tcp::socket(state->loop)});
        std::erase_if(state->links, [](const auto &known) { return known.expired(); });
        state->links.push_back(link);
        spawn(state->loop, connect(state, link));
    }
}

asio::awaitable<void> FaultProxy::connect(std::shared_ptr<State> state, std::shared_ptr<Link> link)
{
    ErrorCode error;
    co_await link->target.async_connect(state->target,
                                        asio::redirect_error(asio::use_awaitable, error));
    if (error || !link->caller.is_open()) {
        link->reset();
        co_return;
    }
    ErrorCode ignored; // Failing to set TCP_NODELAY only adds latency.
    link->caller.set_option(Tcp::no_delay(true), ignored);
    link->target.set_option(Tcp::no_delay(true), ignored);
    spawn(state->loop, pump(state, link, true));
    spawn(state->loop, pump(state, link, false));
}

asio::awaitable<void> FaultProxy::pump(std::shared_ptr<State> state, std::shared_ptr<Link> link,
                                       bool toTarget)
{
    const Direction &direction = toTarget ? state->toTarget : state->toCaller;
    Tcp::socket &from = toTarget ? link->caller : link->target;
    Tcp::socket &to = toTarget ? link->target : link->caller;
    std::string buffer(BufferBytes, 0);
    for (;;) {
        ErrorCode error;
        const std::size_t bytesRead = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (direction.delay.count() > 0)
            co_await sleepFor(state->loop, direction.delay);
        while (direction.silent && to.is_open())
            co_await sleepFor(state->loop, PollInterval);
        if (error == asio::error::eof) {
            ErrorCode ignored; // The peer may have closed the connection already.
            to.shutdown(Tcp::socket::shutdown_send, ignored);
            co_return;
        }
        if (error) {
            link->reset();
            co_return;
        }
        co_await asio::async_write(to, asio::buffer(buffer.data(), bytesRead),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            link->reset();
            co_return;
        }
    }
}

} // namespace almondmill::standin
