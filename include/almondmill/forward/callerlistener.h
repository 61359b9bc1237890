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

/// Accepts callers' connections and keeps their sessions.
class CallerListener
{
public:
    CallerListener(ForwardingContext &context, RequestForwarder &forwarder);

    /// Binds the address of the settings and accepts from then on.
    void start();

    /// Takes no more connections.
    void stopAccepting();

    /// Ends connections that have no request under way.
    void closeIdle();

    std::size_t openSessions() const { return m_sessions.size(); }

private:
    using Sessions = std::list<std::weak_ptr<CallerSession>>;

    /// Connections that the process's descriptors allow.
    std::size_t mostSessions() const;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    ForwardingContext &m_context;
    RequestForwarder &m_forwarder;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Sessions m_sessions;
};

} // namespace almondmill
