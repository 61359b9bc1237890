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

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <string>
#include <vector>

namespace almondmill {

namespace asio = boost::asio;

namespace {

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
    if (m_sessions.size() >= m_context.settings.maxSessions() && !closeLongestWaiting()) {
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

bool CallerListener::closeLongestWaiting()
{
    absl::flat_hash_map<std::string, std::vector<std::shared_ptr<CallerSession>>> byAddress;
    for (const auto &weak : m_sessions) {
        const auto session = weak.lock();
        if (session && session->waitingSince() != SteadyTime::max())
            byAddress[session->callerAddress()].push_back(session);
    }
    const auto most = std::max_element(byAddress.begin(), byAddress.end(),
                                       [](const auto &first, const auto &second) {
                                           return first.second.size() < second.second.size();
                                       });
    if (most == byAddress.end())
        return false;
    const auto longest = std::min_element(most->second.begin(), most->second.end(),
                                          [](const auto &first, const auto &second) {
                                              return first->waitingSince() < second->waitingSince();
                                          });
    EventLine("session.evicted").add("caller", most->first);
    m_context.metrics.counter("almondmill_connection_evictions_total").add();
    (*longest)->abort();
    return true;
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
