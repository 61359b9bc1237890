#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/request/callerlimits.h"

#include <httplib.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace almondmill {

/// A caller's connection as the HTTP library reads and writes it. Bounds what one request may send
/// and how long it may take for it, and can tell that the caller went away while it waits.
class CallerStream : public httplib::Stream
{
public:
    /// Why reading a request failed.
    enum class Failure { None, HeadTooLarge, BodyTooLarge, TooSlow, Closed };

    /// Does not own the socket.
    CallerStream(int socket, const CallerLimits &limits);
    ~CallerStream() override;

    /// The connection that the calling thread serves; null when it serves none.
    static CallerStream *current();

    Failure failure() const { return m_failure; }
    const CallerLimits &limits() const { return m_limits; }

    /// Content type of the request, which the library does not see: it would take forms apart.
    const std::string &contentType() const { return m_contentType; }

    /// Whether the caller closed its side of the connection, half or whole.
    bool callerGone() const;

    /// Whether bytes of a next request are there, waiting for them for at most `wait`.
    bool requestWaiting(std::chrono::milliseconds wait) const;

    /// Whether this request is the last on the connection.
    bool closing() const { return m_closing; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *bytes, size_t size) override;
    ssize_t write(const char *bytes, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

    /// The next request's first byte is there.
    void beginHead(SteadyTime now);

    /// The request's headers are read.
    void beginBody(SteadyTime now, std::string contentType);

    /// No further request is read from this connection.
    void closeAfterThis() { m_closing = true; }

    /// Keeps `object` until the whole response is written.
    void holdUntilWritten(std::shared_ptr<void> object) { m_held = std::move(object); }
    void releaseHeld() { m_held.reset(); }

    /// Ends sending, then reads what the caller still sends for a short time: closing at once would
    /// reset the connection and could take the response from the caller.
    void closeGently();

private:
    ssize_t fill();
    bool fail(Failure failure);

    int m_socket;
    CallerLimits m_limits;
    CallerStream *m_outer;
    std::array<char, 16384> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    bool m_inHead = true;
    std::size_t m_allowance = 0; ///< Bytes that the present request may still send.
    SteadyTime m_readUntil;
    Failure m_failure = Failure::None;
    bool m_closing = false;
    std::string m_contentType;
    std::shared_ptr<void> m_held;
};

} // namespace almondmill
