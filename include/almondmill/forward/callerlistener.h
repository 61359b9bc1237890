#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <list>
#include <memory>

namespace almondmill {

class CallerSession;
class RequestForwarder;
struct ForwardingContext;

/// Accepts caller connections and owns the list of open sessions.
class CallerListener
{
public:
    CallerListener(ForwardingContext &context, RequestForwarder &forwarder);

    /// Binds `ForwarderSettings::callersListen` and starts accepting connections.
    void start();

    /// Accepts the connections that already wait for it and then no more; open sessions continue.
    void stopAccepting();

    /// Closes connections that have no request in flight.
    void closeIdle();

    /// Records the requests in flight as unanswered, before the process ends.
    void recordUnfinished() const;

    std::size_t openSessions() const { return m_sessions.size(); }

private:
    using Sessions = std::list<std::weak_ptr<CallerSession>>;

    /// Closes, of the address with most connections that wait for a complete request, the one that
    /// has waited longest. Returns false when none waits.
    bool closeLongestWaiting();

    boost::asio::awaitable<void> accept();
    void serveUnlessFull(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    ForwardingContext &m_context;
    RequestForwarder &m_forwarder;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Sessions m_sessions;
};

} // namespace almondmill
