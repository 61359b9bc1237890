#pragma once

#include "httpmessage.h"

#include <chrono>
#include <optional>
#include <string>

namespace review {

/// A TCP connection with blocking calls and a buffer of what has been read. Move-only.
class Channel
{
public:
    using Time = std::chrono::steady_clock::time_point;

    Channel() = default;
    explicit Channel(int descriptor);
    Channel(Channel &&other) noexcept;
    Channel &operator=(Channel &&other) noexcept;
    ~Channel();

    /// Connects to "IP:port". With `from`, an IP address, the connection comes from there. Gives a
    /// closed channel when nobody accepts within `timeout`.
    static Channel connect(const std::string &address, std::chrono::milliseconds timeout,
                           const std::string &from = {});

    bool isOpen() const { return m_descriptor >= 0; }

    /// Whether the peer has closed or reset the connection; takes no bytes.
    bool isClosedByPeer() const;

    /// Sends all bytes. Returns false when the connection breaks or the time is over.
    bool send(const std::string &bytes, Time deadline);

    /// Reads more bytes into the buffer. Returns false at the end of the connection and when the
    /// time is over.
    bool readSome(Time deadline);

    /// Reads a head up to its empty line.
    std::optional<HttpMessage> readHead(Time deadline);

    /// Reads the body that the head announces, by its length or in chunks.
    bool readBody(HttpMessage &message, Time deadline);

    /// Reads a head and its body.
    std::optional<HttpMessage> readMessage(Time deadline);

    /// Bytes that were read and not yet taken.
    std::string &buffer() { return m_buffer; }

    void close();

    /// Ends the connection for both sides, from any thread; what was sent still arrives.
    void shutdown();

private:
    bool readChunks(HttpMessage &message, Time deadline);
    bool waitFor(short events, Time deadline) const;

    int m_descriptor = -1;
    std::string m_buffer;
};

} // namespace review
