#pragma once

#include <httplib.h>

#include <chrono>
#include <functional>
#include <string>

namespace almondmill {

/// The HTTP library's client with bounds on what it reads. The library keeps header lines, chunk
/// headers and bodies of any length, and bounds only the time without a byte; a server that sends
/// bytes without end would fill the memory or hold the call for ever.
class BoundedClient : public httplib::ClientImpl
{
public:
    /// `address` is "IP:port", optionally after "http://". A call fails when it has read more than
    /// `maxBytes` since it began or since the last `restartCount`.
    BoundedClient(const std::string &address, std::size_t maxBytes);

    /// Longest time of a call on an established connection.
    void setCallTimeout(std::chrono::milliseconds timeout) { m_callTimeout = timeout; }

    /// Counts the bytes of the current call anew, for example after a part of its body was used.
    void restartCount() { m_readBytes = 0; }

private:
    class BoundedStream;

    bool process_socket(const Socket &socket,
                        std::function<bool(httplib::Stream &stream)> callback) override;

    std::size_t m_maxBytes;
    std::size_t m_readBytes = 0;
    std::chrono::milliseconds m_callTimeout = std::chrono::hours(24);
};

} // namespace almondmill
