#include "almondmill/http/timedsocket.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>

namespace almondmill {

namespace asio = boost::asio;

namespace {

constexpr std::size_t WaitBytes = 2U << 10U;   ///< Held while a connection waits; a head fits.
constexpr std::size_t DrainBytes = 64U << 10U; ///< Shared by all connections of a thread.

constexpr int KeepAliveIdleSeconds = 2;     ///< The shortest useful: whole seconds only.
constexpr int KeepAliveIntervalSeconds = 1; ///< As above.
constexpr int KeepAliveProbes = 2;          ///< One lost probe is no reason to close.

/// Takes what is there beyond the first bytes without waiting; an error shows at the next read.
void drainInto(std::string &input, int descriptor)
{
    static thread_local std::array<char, DrainBytes> bytes;
    const auto got = ::recv(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got > 0)
        input.append(bytes.data(), static_cast<std::size_t>(got));
}

template<typename Value>
void setOption(int descriptor, int level, int name, Value value)
{
    // A refused option leaves the slower detection of the system's defaults.
    (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
}

} // namespace

TimedSocket::TimedSocket(Socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{}

bool TimedSocket::spoiledWhileIdle()
{
    return !isOpen() || !m_input.empty() || readable() != Readable::Nothing;
}

TimedSocket::Readable TimedSocket::readable()
{
    if (!isOpen())
        return Readable::End;
    char byte = 0;
    const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
        return Readable::Bytes;
    const bool wouldBlock = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return wouldBlock ? Readable::Nothing : Readable::End;
}

void TimedSocket::setDeadline(SteadyTime deadline)
{
    m_deadline = deadline;
    if (m_deadline < m_armedFor)
        arm();
}

void TimedSocket::arm()
{
    m_armedFor = m_deadline;
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_armedFor = SteadyTime::max();
        if (std::chrono::steady_clock::now() >= self->m_deadline)
            self->close(Ended::Deadline);
        else if (self->m_deadline != SteadyTime::max())
            self->arm();
    });
}

void TimedSocket::detectSilentPeer(std::chrono::milliseconds unacknowledged)
{
    const int descriptor = m_socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<unsigned>(unacknowledged.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
}

asio::awaitable<TimedSocket::ErrorCode> TimedSocket::connect(const asio::ip::tcp::endpoint &peer)
{
    const auto self = shared_from_this();
    ErrorCode error;
    co_await m_socket.async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<TimedSocket::ErrorCode> TimedSocket::readSome()
{
    const auto self = shared_from_this();
    std::array<char, WaitBytes> bytes;
    ErrorCode error;
    const std::size_t got = co_await m_socket.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    m_input.append(bytes.data(), got);
    if (got == bytes.size() && isOpen())
        drainInto(m_input, m_socket.native_handle());
    co_return error;
}

asio::awaitable<TimedSocket::ErrorCode> TimedSocket::write(std::string_view bytes)
{
    const auto self = shared_from_this();
    ErrorCode error;
    co_await asio::async_write(m_socket, asio::buffer(bytes.data(), bytes.size()),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

void TimedSocket::watchForClose(std::function<void()> callback)
{
    m_onClose = std::move(callback);
    waitForClose(++m_watchGeneration);
}

void TimedSocket::waitForClose(std::uint64_t generation)
{
    m_socket.async_wait(Socket::wait_read,
                        [weak = weak_from_this(), generation](const ErrorCode &error) {
                            const auto self = weak.lock();
                            if (!self || generation != self->m_watchGeneration
                                || error == asio::error::operation_aborted)
                                return;
                            const Readable readable = error ? Readable::End : self->readable();
                            if (readable == Readable::Nothing) {
                                self->waitForClose(generation); // Woken for nothing.
                                return;
                            }
                            // Bytes that arrive early belong to the next request: they end the
                            // watch, not the request.
                            if (readable == Readable::Bytes)
                                return;
                            const auto callback = std::move(self->m_onClose);
                            self->m_onClose = nullptr;
                            if (callback)
                                callback();
                        });
}

void TimedSocket::stopWatching()
{
    ++m_watchGeneration;
    m_onClose = nullptr;
    ErrorCode ignored; // A closed socket has nothing to cancel.
    m_socket.cancel(ignored);
}

void TimedSocket::abort()
{
    close(Ended::Aborted);
}

void TimedSocket::shutdownSending()
{
    ErrorCode ignored; // The peer may have closed first.
    m_socket.shutdown(Socket::shutdown_send, ignored);
}

void TimedSocket::close(Ended reason)
{
    if (m_ended == Ended::No)
        m_ended = reason;
    ErrorCode ignored; // The descriptor is released in any case.
    m_socket.close(ignored);
    m_timer.cancel();
    m_armedFor = SteadyTime::max();
}

} // namespace almondmill
