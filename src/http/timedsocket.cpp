#include "almondmill/http/timedsocket.h"

#include "almondmill/kernel/releasememory.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Buffer allocated for each pending read; large enough for a typical message head.
constexpr std::size_t ReadBufferBytes = 2U << 10U;

/// Buffer for data beyond `ReadBufferBytes`, shared by all connections of a thread.
constexpr std::size_t DrainBufferBytes = 64U << 10U;

/// Time after which a stall check that has failed runs again.
constexpr std::chrono::milliseconds FailedCheckDelay{100};

// TCP keep-alive. The kernel takes the times in whole seconds; these are the shortest useful ones.
constexpr int KeepAliveIdleSeconds = 2;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2; ///< A single lost probe must not close the connection.

template<typename Value>
void setOption(int descriptor, int level, int name, Value value)
{
    // If the option is rejected, the system's slower default detection remains in effect.
    (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
}

/// Whether the error is a failure of the connection. A broken pipe isn't: it also follows a regular
/// close by the peer.
bool isConnectionFailure(const TimedSocket::ErrorCode &error)
{
    return error && error != asio::error::eof && error != asio::error::broken_pipe
           && error != asio::error::operation_aborted && error != asio::error::would_block
           && error != asio::error::interrupted;
}

TimedSocket::ErrorCode lastSystemError()
{
    return {errno, boost::system::system_category()};
}

} // namespace

TimedSocket::TimedSocket(Socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{}

bool TimedSocket::isStale()
{
    return !isOpen() || !input().empty() || peek() != PeekResult::Nothing;
}

bool TimedSocket::hasInput()
{
    return !input().empty() || peek() == PeekResult::Bytes;
}

void TimedSocket::consume(std::size_t bytes)
{
    m_consumed += bytes;
    if (m_consumed < m_input.size())
        return;
    // An idle connection keeps no buffer.
    releaseMemory(m_input);
    m_consumed = 0;
}

void TimedSocket::stopReading()
{
    m_isReadingStopped = true;
    consume(input().size());
    cancelRead();
}

void TimedSocket::append(const char *bytes, std::size_t count)
{
    // Erasing once for each read instead of for each consumed element keeps the time linear.
    m_input.erase(0, std::exchange(m_consumed, 0));
    m_input.append(bytes, count);
}

void TimedSocket::cancelRead()
{
    ErrorCode ignored; // On a closed socket there is nothing to cancel.
    m_socket.cancel(ignored);
}

TimedSocket::PeekResult TimedSocket::peek()
{
    if (!isOpen())
        return PeekResult::End;
    char byte = 0;
    const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0)
        return PeekResult::Bytes;
    const bool wouldBlock = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (got < 0)
        recordError(lastSystemError());
    return wouldBlock ? PeekResult::Nothing : PeekResult::End;
}

void TimedSocket::setDeadline(SteadyTime deadline)
{
    m_deadline = deadline;
    if (m_deadline < m_armedFor)
        arm();
}

void TimedSocket::checkForStallAt(SteadyTime at)
{
    m_stallCheckAt = at;
    if (m_stallCheckAt < m_armedFor)
        arm();
}

void TimedSocket::arm()
{
    m_armedFor = std::min(m_deadline, m_stallCheckAt);
    m_timer.expires_at(m_armedFor);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->onTimer();
    });
}

void TimedSocket::onTimer()
{
    m_armedFor = SteadyTime::max();
    const SteadyTime now = std::chrono::steady_clock::now();
    if (now >= m_deadline) {
        close(CloseReason::Deadline);
        return;
    }
    if (now >= m_stallCheckAt && m_stallCheck)
        runStallCheck(now);
    armIfNeeded();
}

void TimedSocket::runStallCheck(SteadyTime now)
{
    try {
        m_stallCheckAt = m_stallCheck();
    } catch (...) {
        m_stallCheckAt = now + FailedCheckDelay;
        armIfNeeded();
        throw;
    }
}

void TimedSocket::armIfNeeded()
{
    if (isOpen() && std::min(m_deadline, m_stallCheckAt) != SteadyTime::max())
        arm();
}

void TimedSocket::enableDeadPeerDetection(std::chrono::milliseconds unacknowledged)
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
    if (m_isReadingStopped)
        co_return asio::error::operation_aborted;
    std::array<char, ReadBufferBytes> bytes;
    ErrorCode error;
    const std::size_t got = co_await m_socket.async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    recordError(error);
    if (m_isReadingStopped)
        co_return asio::error::operation_aborted;
    append(bytes.data(), got);
    if (got == bytes.size() && isOpen())
        drainInput();
    if (got > 0 && m_onInput)
        m_onInput();
    co_return error == asio::error::eof &&m_failure ? m_failure : error;
}

void TimedSocket::drainInput()
{
    static thread_local std::array<char, DrainBufferBytes> bytes;
    const auto got = ::recv(m_socket.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (got > 0)
        append(bytes.data(), static_cast<std::size_t>(got));
    if (got < 0)
        recordError(lastSystemError());
}

void TimedSocket::recordError(const ErrorCode &error)
{
    // The kernel reports a failure to one operation only; later reads would see a regular end.
    if (!m_failure && isConnectionFailure(error))
        m_failure = error;
}

asio::awaitable<TimedSocket::ErrorCode> TimedSocket::write(std::string_view bytes,
                                                           std::string_view more)
{
    const auto self = shared_from_this();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(bytes.data(), bytes.size()),
                                                    asio::buffer(more.data(), more.size())};
    ErrorCode error;
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    recordError(error);
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
                            const PeekResult result = error ? PeekResult::End : self->peek();
                            if (result == PeekResult::Nothing) {
                                self->waitForClose(generation); // Spurious wake-up.
                                return;
                            }
                            // Bytes that arrive early belong to a pipelined request: they end the
                            // watch but do not cancel the current request.
                            if (result == PeekResult::Bytes)
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
    cancelRead();
}

void TimedSocket::setResetOnClose(bool isReset)
{
    setOption(m_socket.native_handle(), SOL_SOCKET, SO_LINGER, linger{isReset ? 1 : 0, 0});
}

asio::awaitable<void> TimedSocket::discardInput(SteadyTime deadline, std::size_t maxBytes)
{
    setDeadline(deadline);
    std::size_t discarded = 0;
    ErrorCode error;
    while (!error && discarded <= maxBytes) {
        discarded += input().size();
        consume(input().size());
        error = co_await readSome();
    }
}

void TimedSocket::abort()
{
    close(CloseReason::Aborted);
}

void TimedSocket::shutdownSending()
{
    ErrorCode ignored; // The peer may already have closed the connection.
    m_socket.shutdown(Socket::shutdown_send, ignored);
}

void TimedSocket::close(CloseReason reason)
{
    if (m_closeReason == CloseReason::None)
        m_closeReason = reason;
    ErrorCode ignored; // The descriptor is released even if closing fails.
    m_socket.close(ignored);
    m_timer.cancel();
    m_armedFor = SteadyTime::max();
}

} // namespace almondmill
