#include "almondmill/http/boundedclient.h"

#include "almondmill/http/answerheadreader.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/kernel/time.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t BufferBytes = 4096;

/// Longest line of a head or of chunked framing. The library matches status lines with a regular
/// expression whose recursion is as deep as the line is long.
constexpr std::size_t MaxLineBytes = std::size_t(8) << 10U;

constexpr std::string_view Scheme = "http://";

std::string withoutScheme(const std::string &address)
{
    return address.starts_with(Scheme) ? address.substr(Scheme.size()) : address;
}

std::string hostOf(const std::string &address)
{
    const std::string hostAndPort = withoutScheme(address);
    return hostAndPort.substr(0, hostAndPort.rfind(':'));
}

int portOf(const std::string &address)
{
    const std::string hostAndPort = withoutScheme(address);
    const auto colon = hostAndPort.rfind(':');
    constexpr int DefaultPort = 80;
    return colon == std::string::npos ? DefaultPort : std::atoi(hostAndPort.c_str() + colon + 1);
}

milliseconds toTimeout(std::time_t seconds, std::time_t microseconds)
{
    return std::chrono::ceil<milliseconds>(std::chrono::seconds(seconds)
                                           + std::chrono::microseconds(microseconds));
}

} // namespace

/// Connection of one call as the library reads and writes it. Does not own the socket.
class BoundedClient::BoundedStream : public httplib::Stream
{
public:
    BoundedStream(BoundedClient &client, socket_t socket)
        : m_client(client)
        , m_socket(socket)
        , m_deadline(steadyNow() + client.m_callTimeout)
    {}

    bool is_readable() const override
    {
        return m_begin != m_end
               || waitFor(POLLIN,
                          toTimeout(m_client.read_timeout_sec_, m_client.read_timeout_usec_));
    }

    bool is_writable() const override
    {
        return waitFor(POLLOUT,
                       toTimeout(m_client.write_timeout_sec_, m_client.write_timeout_usec_));
    }

    ssize_t read(char *bytes, size_t size) override
    {
        if (m_begin == m_end) {
            const ssize_t filled = fill();
            if (filled <= 0)
                return filled;
        }
        const std::size_t taken = std::min(size, m_end - m_begin);
        std::copy_n(m_buffer.data() + m_begin, taken, bytes);
        m_begin += taken;
        m_client.m_readBytes += taken;
        // The library reads lines byte by byte, and bodies in larger pieces.
        if (size == 1)
            recordLineByte(*bytes);
        else
            m_line.clear();
        if (m_line.size() > MaxLineBytes || m_client.m_readBytes > m_client.m_maxBytes
            || isRefused(m_head.framing()))
            return -1;
        return static_cast<ssize_t>(taken);
    }

    /// Whether a chunked body stopped before its last chunk. The library takes a chunk without its
    /// line end for the end of the body.
    bool isCutInChunks() const
    {
        const bool hasLastChunk = m_lineBefore.starts_with('0') && m_lastLine == "\r\n";
        return m_head.framing() == MessageFraming::Chunked && !(hasLastChunk && m_line.empty());
    }

    ssize_t write(const char *bytes, size_t size) override
    {
        while (is_writable()) {
            const ssize_t sent = ::send(m_socket, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
            if (sent >= 0 || !mayRetry())
                return sent;
        }
        return -1;
    }

    // The library asks for these addresses on the server's side only.
    void get_remote_ip_and_port(std::string &, int &) const override {}
    void get_local_ip_and_port(std::string &, int &) const override {}
    socket_t socket() const override { return m_socket; }

private:
    static bool mayRetry() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

    /// Waits until the deadline of the call at most; returns false if nothing happened.
    bool waitFor(short events, milliseconds timeout) const
    {
        const auto left = std::chrono::ceil<milliseconds>(m_deadline - steadyNow());
        if (left <= milliseconds(0))
            return false;
        pollfd entry{m_socket, events, 0};
        int ready = 0;
        do {
            ready = ::poll(&entry, 1, static_cast<int>(std::min(timeout, left).count()));
        } while (ready < 0 && errno == EINTR);
        return ready > 0;
    }

    void recordLineByte(char byte)
    {
        m_line += byte;
        if (byte != '\n')
            return;
        if (!m_head.isComplete())
            m_head.addLine(m_line);
        m_lineBefore = std::move(m_lastLine);
        m_lastLine = std::move(m_line);
        m_line.clear();
    }

    ssize_t fill()
    {
        while (is_readable()) {
            const ssize_t got = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
            if (got < 0 && mayRetry())
                continue;
            m_begin = 0;
            m_end = got > 0 ? static_cast<std::size_t>(got) : 0;
            return got;
        }
        return -1;
    }

    BoundedClient &m_client;
    socket_t m_socket;
    SteadyTime m_deadline;
    std::array<char, BufferBytes> m_buffer;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::string m_line; ///< The line that is being read.
    std::string m_lastLine;
    std::string m_lineBefore; ///< Before the last one.
    AnswerHeadReader m_head;
};

BoundedClient::BoundedClient(const std::string &address, std::size_t maxBytes)
    : httplib::ClientImpl(hostOf(address), portOf(address))
    , m_maxBytes(maxBytes)
{}

bool BoundedClient::process_socket(const Socket &socket,
                                   std::function<bool(httplib::Stream &stream)> callback)
{
    m_readBytes = 0;
    BoundedStream stream(*this, socket.sock);
    return callback(stream) && !stream.isCutInChunks();
}

} // namespace almondmill
