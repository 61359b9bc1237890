#include "almondmill/request/callerstream.h"

#include "almondmill/http/heldmemory.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>

namespace almondmill {

namespace {

constexpr std::chrono::milliseconds ShortTime{30};

/// Creates a pair of connected sockets. The stream reads and writes the first one.
class CallerStreamTest : public testing::Test
{
protected:
    CallerStreamTest()
    {
        socketpair(AF_UNIX, SOCK_STREAM, 0, m_ends.data());
        m_limits.headBytes = 10;
        m_limits.bodyBytes = 20;
        m_limits.headTimeout = ShortTime;
        m_limits.writeTimeout = ShortTime;
    }

    ~CallerStreamTest() override
    {
        close(m_ends[0]);
        if (m_ends[1] >= 0)
            close(m_ends[1]);
    }

    void sendAsCaller(const std::string &text) const
    {
        ASSERT_EQ(send(m_ends[1], text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
    }

    void closeAsCaller()
    {
        close(m_ends[1]);
        m_ends[1] = -1;
    }

    static std::string readAll(CallerStream &stream)
    {
        std::string text;
        char byte = 0;
        while (stream.read(&byte, 1) == 1)
            text += byte;
        return text;
    }

    std::array<int, 2> m_ends{-1, -1};
    CallerLimits m_limits;
    std::shared_ptr<HeldMemory> m_memory = std::make_shared<HeldMemory>(MemoryLimits());
};

} // namespace

TEST_F(CallerStreamTest, TimesOutWhenTheHeadersArriveTooSlowly)
{
    CallerStream stream(m_ends[0], m_limits, m_memory);
    stream.beginHead(std::chrono::steady_clock::now());
    sendAsCaller("GET");
    EXPECT_EQ(readAll(stream), "GET");
    EXPECT_EQ(stream.failure(), CallerStream::Failure::TooSlow);
}

TEST_F(CallerStreamTest, StopsReadingHeadersAtTheByteLimit)
{
    CallerStream stream(m_ends[0], m_limits, m_memory);
    stream.beginHead(std::chrono::steady_clock::now());
    sendAsCaller(std::string(50, 'x'));
    EXPECT_EQ(readAll(stream).size(), m_limits.headBytes);
    EXPECT_EQ(stream.failure(), CallerStream::Failure::HeadTooLarge);
}

TEST_F(CallerStreamTest, DetectsThatTheCallerDisconnected)
{
    const CallerStream stream(m_ends[0], m_limits, m_memory);
    EXPECT_FALSE(stream.callerGone());
    closeAsCaller();
    EXPECT_TRUE(stream.callerGone());
}

TEST_F(CallerStreamTest, TimesOutWhenTheCallerDoesNotRead)
{
    CallerStream stream(m_ends[0], m_limits, m_memory);
    const std::string block(1U << 16U, 'x');
    ssize_t written = 1;
    for (int i = 0; i < 1000 && written > 0; ++i)
        written = stream.write(block.data(), block.size());
    EXPECT_EQ(written, -1);
}

TEST_F(CallerStreamTest, IsTheCurrentStreamOfItsThreadUntilDestroyed)
{
    EXPECT_EQ(CallerStream::current(), nullptr);
    {
        const CallerStream stream(m_ends[0], m_limits, m_memory);
        EXPECT_EQ(CallerStream::current(), &stream);
    }
    EXPECT_EQ(CallerStream::current(), nullptr);
}

} // namespace almondmill
