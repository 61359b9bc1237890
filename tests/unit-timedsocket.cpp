#include "almondmill/http/supervisedtask.h"
#include "almondmill/http/timedsocket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

#include <stdexcept>

namespace almondmill::test {

namespace asio = boost::asio;

namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;

/// Reads from a peer that sends nothing, on an event loop that survives exceptions.
class SilentConnection : public testing::Test
{
protected:
    SilentConnection()
        : m_acceptor(m_loop, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , m_peer(m_loop)
    {
        tcp::socket socket(m_loop);
        socket.connect(m_acceptor.local_endpoint());
        m_acceptor.accept(m_peer);
        m_socket = std::make_shared<TimedSocket>(std::move(socket));
    }

    /// Returns whether the read ended within `limit`.
    bool readEndsWithin(milliseconds limit)
    {
        bool hasEnded = false;
        asio::co_spawn(m_loop, m_socket->readSome(),
                       [&](const std::exception_ptr &, const TimedSocket::ErrorCode &) {
                           hasEnded = true;
                           m_loop.stop();
                       });
        asio::steady_timer timer(m_loop, limit);
        timer.async_wait([&](const TimedSocket::ErrorCode &) { m_loop.stop(); });
        runSupervised(m_loop);
        return hasEnded;
    }

    TimedSocket &socket() { return *m_socket; }

private:
    asio::io_context m_loop;
    tcp::acceptor m_acceptor;
    tcp::socket m_peer;
    std::shared_ptr<TimedSocket> m_socket;
};

SteadyTime fromNow(milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

} // namespace

// Guards against a connection that stays open without limit after its stall check has failed.
TEST_F(SilentConnection, EndsAtItsDeadlineAlsoWhenAStallCheckThrows)
{
    socket().setStallCheck([]() -> SteadyTime { throw std::runtime_error("no memory"); });
    socket().checkForStallAt(fromNow(milliseconds(20)));
    socket().setDeadline(fromNow(milliseconds(200)));
    EXPECT_TRUE(readEndsWithin(milliseconds(2000)));
    EXPECT_EQ(socket().closeReason(), TimedSocket::CloseReason::Deadline);
}

// Guards against a silent peer that nobody looks at any more after a stall check has failed once.
TEST_F(SilentConnection, IsCheckedAgainAfterAStallCheckThatThrows)
{
    int checks = 0;
    socket().setStallCheck([&]() -> SteadyTime {
        if (++checks == 1)
            throw std::runtime_error("no memory");
        socket().abort();
        return SteadyTime::max();
    });
    socket().checkForStallAt(fromNow(milliseconds(20)));
    EXPECT_TRUE(readEndsWithin(milliseconds(2000)));
    EXPECT_EQ(checks, 2);
}

} // namespace almondmill::test
