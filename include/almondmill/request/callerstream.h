#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/request/callerlimits.h"

#include <httplib.h>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace almondmill {

class HeldMemory;
class MemoryReservation;

/// A caller's connection as the HTTP library reads and writes it. Limits the bytes and the time of
/// each request, and detects that the caller disconnected while it waits for the response.
class CallerStream : public httplib::Stream
{
public:
    /// Why reading a request failed.
    enum class Failure { None, HeadTooLarge, BodyTooLarge, TooSlow, Closed, Evicted };

    /// Does not own the socket. What is held for the caller is counted in `memory`.
    CallerStream(int socket, const CallerLimits &limits, std::shared_ptr<HeldMemory> memory);
    ~CallerStream() override;

    /// The connection that the calling thread serves, or null.
    static CallerStream *current();

    Failure failure() const { return m_failure; }
    const CallerLimits &limits() const { return m_limits; }

    /// Content type that the caller sent. It is hidden from the library, which would parse form
    /// bodies.
    const std::string &contentType() const { return m_contentType; }

    /// Whether the caller closed the connection, or its sending side of it.
    bool callerGone() const;

    /// Whether bytes of another request are available. Waits for them for at most `wait`.
    bool pollForRequest(std::chrono::milliseconds wait) const;

    /// Whether this request is the last on the connection.
    bool closing() const { return m_closing; }

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *bytes, size_t size) override;
    ssize_t write(const char *bytes, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

    /// Starts the limits of a request's headers. To be called when its first byte is available.
    void beginHead(SteadyTime now);

    /// Starts the limits of a request's body. To be called when its headers are read.
    void beginBody(SteadyTime now, std::string contentType);

    /// Counts the request as complete, with the copies of its body that are made to serve it, and
    /// as that account's. Returns false when there is no memory for it.
    bool beginServing(const std::string &account);

    /// Counts the answer that is about to be written in place of the copies of the request.
    void beginAnswer(std::size_t bytes);

    /// Starts to wait for the next request; nothing is held for the previous one any more.
    void endRequest();

    /// Makes the present request the last one on this connection.
    void closeAfterThis() { m_closing = true; }

    /// Keeps `object` alive until the complete response is written.
    void holdUntilWritten(std::shared_ptr<void> object) { m_held = std::move(object); }
    void releaseHeld() { m_held.reset(); }

    /// Shuts down the sending side, then reads and drops what the caller still sends for up to a
    /// second. Closing at once would reset the connection, and the caller could lose the response.
    void lingeringClose();

private:
    void onEviction() const;
    ssize_t fill();
    bool fail(Failure failure);

    int m_socket;
    CallerLimits m_limits;
    CallerStream *m_previous;
    std::size_t m_requestBytes = 0; ///< Read of the present request.
    std::size_t m_countedBytes = 0; ///< Of these, in the ledger.
    std::unique_ptr<MemoryReservation> m_memory;
    std::array<char, 16384> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    bool m_inHead = true;
    std::size_t m_remainingBytes = 0; ///< Bytes that the request may still send.
    SteadyTime m_readUntil;
    Failure m_failure = Failure::None;
    bool m_closing = false;
    std::string m_contentType;
    std::shared_ptr<void> m_held;
};

} // namespace almondmill
