#include "almondmill/forward/callerlistener.h"

#include "almondmill/forward/callersession.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Descriptors for files, the store, peers and the balancer.
constexpr std::uint32_t OtherDescriptors = 300;

/// A caller's connection and one to an endpoint.
constexpr std::uint32_t DescriptorsPerSession = 2;

/// Time until accepting goes on after it failed, mostly for want of descriptors.
constexpr std::chrono::milliseconds AcceptPause{50};

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
    asio::co_spawn(m_context.loop, accept(), asio::detached);
}

void CallerListener::stopAccepting()
{
    boost::system::error_code ignored; // Already closed is fine.
    m_acceptor.close(ignored);
}

void CallerListener::closeIdle()
{
    for (const auto &weak : m_sessions) {
        if (const auto session = weak.lock())
            session->closeIfIdle();
    }
}

std::size_t CallerListener::mostSessions() const
{
    const std::uint32_t descriptors = m_context.settings.maxDescriptors;
    return (descriptors - std::min(descriptors, OtherDescriptors)) / DescriptorsPerSession;
}

asio::awaitable<void> CallerListener::accept()
{
    while (m_acceptor.is_open()) {
        boost::system::error_code error;
        auto socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error && m_sessions.size() >= mostSessions()) {
            EventLine("listener.full").add("sessions", std::uint64_t(m_sessions.size()));
            continue; // The socket's end closes the connection; the caller tries another router.
        }
        if (!error) {
            asio::co_spawn(m_context.loop, serve(std::move(socket)), asio::detached);
            continue;
        }
        if (!m_acceptor.is_open())
            co_return;
        EventLine("listener.accept_failed").add("reason", error.message());
        co_await sleepFor(m_context.loop, AcceptPause);
    }
}

asio::awaitable<void> CallerListener::serve(asio::ip::tcp::socket socket)
{
    const auto session = std::make_shared<CallerSession>(m_context, m_forwarder, std::move(socket));
    const auto place = m_sessions.insert(m_sessions.end(), session);
    try {
        co_await session->run();
    } catch (const std::exception &error) {
        EventLine("session.failed").add("reason", error.what());
    }
    m_sessions.erase(place);
}

} // namespace almondmill
