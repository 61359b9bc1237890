#include "almondmill/request/callerstream.h"

#include "almondmill/http/memoryreservation.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace almondmill {

namespace {

constexpr std::chrono::milliseconds LingerTimeout{1000};
constexpr std::size_t MaxLingerBytes = 16U << 20U;
/// Allowance on top of the body limit for the framing of chunked bodies.
constexpr std::size_t BodyFramingBytes = 64U << 10U;

/// The library's buffer of a body doubles as it grows.
constexpr std::size_t CopiesWhileReading = 2;

/// The library's buffer, the request's context, the parsed JSON with its prompt, and what is sent.
constexpr std::size_t CopiesWhileServing = 6;

/// The ledger is updated once for so many bytes, as the library reads heads byte by byte.
constexpr std::size_t CountStepBytes = 4096;

thread_local CallerStream *currentStream = nullptr;

short waitFor(int socket, short events, std::chrono::milliseconds timeout)
{
    pollfd entry{socket, events, 0};
    const auto wait = std::max(timeout, std::chrono::milliseconds(0));
    int ready = 0;
    do {
        ready = poll(&entry, 1, static_cast<int>(wait.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 ? entry.revents : short{0};
}

std::chrono::milliseconds timeUntil(SteadyTime end)
{
    const auto left = end - std::chrono::steady_clock::now();
    return std::chrono::ceil<std::chrono::milliseconds>(left);
}

void toIpAndPort(const sockaddr_in &address, std::string &ip, int &port)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

CallerStream::CallerStream(int socket, const CallerLimits &limits,
                           std::shared_ptr<HeldMemory> memory)
    : m_socket(socket)
    , m_limits(limits)
    , m_previous(currentStream)
{
    currentStream = this;
    MemoryReservation::Origin origin;
    int port = 0;
    get_remote_ip_and_port(origin.name, port);
    m_memory = std::make_unique<MemoryReservation>(std::move(memory),
                                                   MemoryReservation::Kind::UnfinishedRequest,
                                                   std::move(origin), [this] { onEviction(); });
}

CallerStream::~CallerStream()
{
    currentStream = m_previous;
}

CallerStream *CallerStream::current()
{
    return currentStream;
}

bool CallerStream::callerGone() const
{
    const short events = waitFor(m_socket, POLLRDHUP, std::chrono::milliseconds(0));
    return (events & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool CallerStream::pollForRequest(std::chrono::milliseconds wait) const
{
    if (m_begin != m_end)
        return true;
    if ((waitFor(m_socket, POLLIN, wait) & POLLIN) == 0)
        return false;
    char byte = 0;
    return recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

bool CallerStream::is_readable() const
{
    return m_begin != m_end || (waitFor(m_socket, POLLIN, timeUntil(m_readUntil)) & POLLIN) != 0;
}

bool CallerStream::is_writable() const
{
    return (waitFor(m_socket, POLLOUT, m_limits.writeTimeout) & (POLLOUT | POLLERR)) == POLLOUT;
}

ssize_t CallerStream::read(char *bytes, size_t size)
{
    if (m_remainingBytes == 0) {
        fail(m_inHead ? Failure::HeadTooLarge : Failure::BodyTooLarge);
        return -1;
    }
    if (m_begin == m_end) {
        const ssize_t filled = fill();
        if (filled <= 0)
            return filled;
    }
    const std::size_t taken = std::min({size, m_end - m_begin, m_remainingBytes});
    std::copy_n(m_buffer.data() + m_begin, taken, bytes);
    m_begin += taken;
    m_remainingBytes -= taken;
    m_requestBytes += taken;
    if (m_requestBytes - m_countedBytes >= CountStepBytes) {
        m_countedBytes = m_requestBytes;
        m_memory->resize(m_requestBytes * CopiesWhileReading);
    }
    if (m_memory->isEvicted()) {
        fail(Failure::Evicted);
        return -1;
    }
    return static_cast<ssize_t>(taken);
}

ssize_t CallerStream::fill()
{
    while (true) {
        const ssize_t count = recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            m_begin = 0;
            m_end = static_cast<std::size_t>(count);
            return count;
        }
        const bool retry = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (!retry) {
            fail(m_memory->isEvicted() ? Failure::Evicted : Failure::Closed);
            return count;
        }
        if (waitFor(m_socket, POLLIN, timeUntil(m_readUntil)) == 0) {
            fail(Failure::TooSlow);
            return -1;
        }
    }
}

ssize_t CallerStream::write(const char *bytes, size_t size)
{
    while (is_writable()) {
        const ssize_t count = send(m_socket, bytes, size, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0 || (errno != EAGAIN && errno != EINTR))
            return count;
    }
    return -1;
}

void CallerStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        toIpAndPort(address, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    if (getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &length) == 0)
        toIpAndPort(address, ip, port);
}

void CallerStream::beginHead(SteadyTime now)
{
    m_inHead = true;
    m_remainingBytes = m_limits.headBytes;
    m_readUntil = now + m_limits.headTimeout;
}

void CallerStream::beginBody(SteadyTime now, std::string contentType)
{
    m_inHead = false;
    m_remainingBytes = m_limits.bodyBytes + BodyFramingBytes;
    m_readUntil = now + m_limits.bodyTimeout;
    m_contentType = std::move(contentType);
}

bool CallerStream::beginServing(const std::string &account)
{
    m_memory->resize(m_requestBytes * CopiesWhileServing);
    m_memory->hold(MemoryReservation::Kind::Request, {account, {}});
    return !m_memory->isEvicted();
}

void CallerStream::beginAnswer(std::size_t bytes)
{
    m_memory->resize(m_requestBytes * CopiesWhileReading + bytes);
}

void CallerStream::endRequest()
{
    m_requestBytes = 0;
    m_countedBytes = 0;
    m_memory->resize(0);
    m_memory->hold(MemoryReservation::Kind::UnfinishedRequest);
}

void CallerStream::onEviction() const
{
    // Ends a pending read. A caller of a request in progress is taken to have left.
    shutdown(m_socket, SHUT_RD);
}

void CallerStream::lingeringClose()
{
    shutdown(m_socket, SHUT_WR);
    const SteadyTime until = std::chrono::steady_clock::now() + LingerTimeout;
    std::size_t dropped = 0;
    while (dropped < MaxLingerBytes && waitFor(m_socket, POLLIN, timeUntil(until)) != 0) {
        const ssize_t count = recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (count <= 0)
            return;
        dropped += static_cast<std::size_t>(count);
    }
}

bool CallerStream::fail(Failure failure)
{
    if (m_failure == Failure::None)
        m_failure = failure;
    m_closing = true;
    return false;
}

} // namespace almondmill
