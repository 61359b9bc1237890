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

/// A TCP connection of the event loop with a deadline and an input buffer. Used by one coroutine at
/// a time; `abort` may be called from any callback of the same loop and ends the operation under
/// way.
class TimedSocket : public std::enable_shared_from_this<TimedSocket>
{
public:
    using Socket = boost::asio::ip::tcp::socket;
    using ErrorCode = boost::system::error_code;

    explicit TimedSocket(Socket socket);

    /// Why the connection was ended from this side.
    enum class Ended { No, Deadline, Aborted };

    Ended ended() const { return m_ended; }
    bool isOpen() const { return m_socket.is_open() && m_ended == Ended::No; }

    /// Whether the peer closed an idle connection or sent bytes that nobody asked for.
    bool spoiledWhileIdle();

    /// What can be read at once, without reading it.
    enum class Readable { Nothing, Bytes, End };
    Readable readable();

    /// Bytes received and not yet consumed.
    const std::string &input() const { return m_input; }
    void consume(std::size_t bytes) { m_input.erase(0, bytes); }

    /// The connection is closed when this point passes; it holds until the next call.
    void setDeadline(SteadyTime deadline);

    /// Sets the options that bound how long a peer without power goes unnoticed.
    void detectSilentPeer(std::chrono::milliseconds unacknowledged);

    boost::asio::awaitable<ErrorCode> connect(const boost::asio::ip::tcp::endpoint &peer);

    /// Appends what arrives to the input; at the end of the peer's sending the error is `eof`.
    boost::asio::awaitable<ErrorCode> readSome();
    boost::asio::awaitable<ErrorCode> write(std::string_view bytes);

    /// Calls `callback` once if the peer closes its side, until `stopWatching`.
    void watchForClose(std::function<void()> callback);
    void stopWatching();

    /// Closes at once. Bytes not yet read by the peer may be lost.
    void abort();

    /// Ends the sending side, so that the peer reads what was sent and then the end.
    void shutdownSending();

private:
    void arm();
    void close(Ended reason);
    void waitForClose(std::uint64_t generation);

    Socket m_socket;
    boost::asio::steady_timer m_timer;
    SteadyTime m_deadline = SteadyTime::max();
    SteadyTime m_armedFor = SteadyTime::max();
    Ended m_ended = Ended::No;
    std::string m_input;
    std::function<void()> m_onClose;
    std::uint64_t m_watchGeneration = 0;
};

} // namespace almondmill
