#include "almondmill/forward/callerlistener.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// File descriptors reserved for files, the store, peers and the load balancer.
constexpr std::uint32_t ReservedDescriptors = 300;

/// One for the caller's connection and one for a connection to an endpoint.
constexpr std::uint32_t DescriptorsPerSession = 2;

/// Delay before accepting again after an error, which is usually a lack of file descriptors.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

} // namespace

CallerListener::CallerListener(ForwardingContext &context, RequestForwarder &forwarder)
    : m_context(context)
    , m_forwarder(forwarder)
    , m_acceptor(context.loop)
{}

void CallerListener::start()
{
    const auto address = parseSocketAddress(m_context.settings.callersListen);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    startSupervised(m_context.loop, "callers.accept", [this] { return accept(); });
}

void CallerListener::stopAccepting()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    // Connections that wait to be accepted would be reset, with the requests sent on them.
    while (!error) {
        asio::ip::tcp::socket socket(m_context.loop);
        m_acceptor.accept(socket, error);
        if (!error)
            serveUnlessFull(std::move(socket));
    }
    m_acceptor.close(error); // It may be closed already.
}

void CallerListener::serveUnlessFull(asio::ip::tcp::socket socket)
{
    if (m_sessions.size() >= maxSessions()) {
        EventLine("listener.full").add("sessions", std::uint64_t(m_sessions.size()));
        return; // Destroying the socket closes it, so that the caller tries another router.
    }
    asio::co_spawn(m_context.loop, serve(std::move(socket)), asio::detached);
}

void CallerListener::closeIdle()
{
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock())
            session->closeIfIdle();
    }
}

void CallerListener::recordUnfinished() const
{
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock())
            session->recordUnfinished();
    }
}

std::size_t CallerListener::maxSessions() const
{
    const std::uint32_t descriptors = m_context.settings.maxDescriptors;
    return (descriptors - std::min(descriptors, ReservedDescriptors)) / DescriptorsPerSession;
}

asio::awaitable<void> CallerListener::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            serveUnlessFull(std::move(socket));
            continue;
        }
        if (!m_acceptor.is_open())
            co_return;
        EventLine("listener.accept_failed").add("reason", error.message());
        co_await sleepFor(m_context.loop, AcceptRetryDelay);
    }
}

asio::awaitable<void> CallerListener::serve(asio::ip::tcp::socket socket)
{
    const auto session = std::make_shared<CallerSession>(m_context, m_forwarder, std::move(socket));
    const auto entry = m_sessions.insert(m_sessions.end(), session);
    try {
        co_await session->run();
    } catch (const std::exception &error) {
        EventLine("session.failed").add("reason", error.what());
    }
    m_sessions.erase(entry);
}

} // namespace almondmill
