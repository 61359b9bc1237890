#pragma once

#include "almondmill/request/callerlimits.h"

#include <httplib.h>

#include <atomic>
#include <cstdint>

namespace almondmill {

class CallerStream;

/// The HTTP library's server with connections that are bounded in number, bytes and time, that tell
/// when their caller goes away, and that are all finished before a graceful shutdown.
class CallerServer : public httplib::Server
{
public:
    /// Serves at most `threads` connections at once; some more are refused with a response. While
    /// `draining` is set, each response closes its connection.
    CallerServer(const CallerLimits &limits, std::size_t threads,
                 const std::atomic<bool> &draining);

    /// Connections accepted and not yet closed.
    std::uint32_t connections() const { return m_connections; }

    /// Whether the calling thread serves a connection beyond the limit.
    static bool refusing();

    /// Takes no new connection: handshakes under way are finished and served, new ones get no
    /// answer, and a refusal once the listener is closed. Closing the listener alone would reset
    /// connections that wait to be accepted.
    void stopAccepting();

private:
    class Connections;

    bool process_and_close_socket(socket_t socket) override;
    bool waitForRequest(const CallerStream &stream) const;
    bool serveRequest(CallerStream &stream, bool last);
    static void prepare(CallerStream &stream, httplib::Request &request);

    CallerLimits m_limits;
    std::size_t m_threads;
    const std::atomic<bool> &m_draining;
    std::atomic<std::uint32_t> m_connections{0};
};

} // namespace almondmill
