#pragma once

#include "almondmill/request/callerlimits.h"

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>

namespace almondmill {

class CallerStream;
class HeldMemory;

/// The HTTP library's server with connections that are limited in number, bytes and time, that
/// detect when the caller disconnects, and that are all served before a graceful shutdown.
class CallerServer : public httplib::Server
{
public:
    /// Serves at most `threads` connections at once. A limited number of further connections get a
    /// response that refuses them. While `draining` is set, every response closes its connection.
    CallerServer(const CallerLimits &limits, std::size_t threads, const std::atomic<bool> &draining,
                 std::shared_ptr<HeldMemory> memory);

    /// Number of connections accepted and not yet closed.
    std::uint32_t connections() const { return m_connections; }

    /// Whether the calling thread serves a connection beyond the limit, which it has to refuse.
    static bool isRefusingConnection();

    /// Accepts no new connections. TCP handshakes in progress are completed and served. New SYN
    /// packets are dropped until the listener is closed and are refused afterwards. Closing the
    /// listener at once would reset connections that wait in the accept queue.
    void stopAccepting();

private:
    class Connections;

    bool process_and_close_socket(socket_t socket) override;
    bool serveConnection(socket_t socket);
    bool waitForRequest(const CallerStream &stream) const;
    bool serveRequest(CallerStream &stream, bool last);
    static void prepare(CallerStream &stream, httplib::Request &request);

    CallerLimits m_limits;
    std::size_t m_threads;
    const std::atomic<bool> &m_draining;
    std::shared_ptr<HeldMemory> m_memory;
    std::atomic<std::uint32_t> m_connections{0};
};

} // namespace almondmill
