#pragma once

#include "almondmill/kernel/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondmill {

/// TCP connection of an event loop, with a deadline and an input buffer. Used by one coroutine at a
/// time. `abort` may be called from any callback of the same loop and cancels the pending
/// operation.
class TimedSocket : public std::enable_shared_from_this<TimedSocket>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;

    explicit TimedSocket(Socket socket);

    /// Why this side closed the connection.
    enum class CloseReason { None, Deadline, Aborted };

    CloseReason closeReason() const { return m_closeReason; }
    bool isOpen() const { return m_socket.is_open() && m_closeReason == CloseReason::None; }

    /// Returns whether an idle connection cannot be reused, because it was closed or the peer sent
    /// unsolicited bytes.
    bool isStale();

    /// Whether bytes have arrived that were not consumed yet.
    bool hasInput();

    /// Ends a pending `readSome` with an error, unless it has already received bytes.
    void cancelRead();

    /// What a non-blocking read would return, determined without consuming input.
    enum class PeekResult { Nothing, Bytes, End };
    PeekResult peek();

    /// Bytes that have been received and not yet consumed.
    std::string_view input() const { return std::string_view(m_input).substr(m_consumed); }
    void consume(std::size_t bytes);

    /// Memory that the input takes.
    std::size_t inputCapacity() const { return m_input.capacity(); }

    /// Sets a function that is called after each read that has received bytes.
    void onInput(std::function<void()> callback) { m_onInput = std::move(callback); }

    /// Ends a pending `readSome` and fails all others with `operation_aborted`, until
    /// `resumeReading`. Drops the bytes that were received.
    void stopReading();
    void resumeReading() { m_isReadingStopped = false; }

    /// Closes the connection at `deadline`. Each call replaces the previous deadline.
    void setDeadline(SteadyTime deadline);

    /// Decides about a peer that is silent; returns when to check again. May abort the connection.
    using StallCheck = std::function<SteadyTime()>;
    void setStallCheck(StallCheck check) { m_stallCheck = std::move(check); }

    /// Runs the stall check at `at`. Each call replaces the previous time; SteadyTime::max() means
    /// never. Unlike the deadline, this leaves the connection open.
    void checkForStallAt(SteadyTime at);

    /// Sets the socket options that detect an unresponsive peer, such as a VM without power.
    /// `unacknowledged` bounds the time that sent data may remain unacknowledged. Also disables
    /// Nagle's algorithm.
    void enableDeadPeerDetection(std::chrono::milliseconds unacknowledged);

    boost::asio::awaitable<ErrorCode> connect(const boost::asio::ip::tcp::endpoint &peer);

    /// Appends received bytes to the input. The error is `eof` when the peer has closed its sending
    /// side in order; after a failure of the connection, such as a reset, it is never `eof`.
    boost::asio::awaitable<ErrorCode> readSome();
    /// Writes `bytes` and then `more`.
    boost::asio::awaitable<ErrorCode> write(std::string_view bytes, std::string_view more = {});

    /// Calls `callback` once if the peer closes its sending side before `stopWatching`.
    void watchForClose(std::function<void()> callback);
    void stopWatching();

    /// Whether closing the connection resets it, so that the peer does not take its end for the end
    /// of a message. Holds also when the process ends.
    void setResetOnClose(bool isReset);

    /// Reads and drops what the peer still sends until it closes the connection, until the
    /// deadline, which closes it, or until more than `maxBytes` have arrived. Closing with unread
    /// bytes would reset the connection, and the peer could lose what was written last.
    boost::asio::awaitable<void> discardInput(SteadyTime deadline, std::size_t maxBytes);

    /// Closes the connection immediately. Bytes that the peer has not read yet may be lost.
    void abort();

    /// Closes the sending side, so that the peer receives all sent bytes and then the end of the
    /// stream.
    void shutdownSending();

private:
    void recordError(const ErrorCode &error);
    void append(const char *bytes, std::size_t count);
    void drainInput();
    void arm();
    void armIfNeeded();
    void runStallCheck(SteadyTime now);
    void onTimer();
    void close(CloseReason reason);
    void waitForClose(std::uint64_t generation);

    Socket m_socket;
    boost::asio::steady_timer m_timer;
    SteadyTime m_deadline = SteadyTime::max();
    SteadyTime m_stallCheckAt = SteadyTime::max();
    SteadyTime m_armedFor = SteadyTime::max();
    StallCheck m_stallCheck;
    CloseReason m_closeReason = CloseReason::None;
    std::string m_input;
    std::size_t m_consumed = 0; ///< Bytes at the start of `m_input` that were consumed.
    std::function<void()> m_onInput;
    bool m_isReadingStopped = false;
    ErrorCode m_failure; ///< First failure of the connection that an operation reported.
    std::function<void()> m_onClose;
    std::uint64_t m_watchGeneration = 0;
};

} // namespace almondmill
