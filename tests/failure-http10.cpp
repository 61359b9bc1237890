// Guards callers of HTTP/1.0, which can't read chunks: the end of their connection is the end of a
// stream, so a stream that broke off must not end like a complete one.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

std::string http10Request(const std::string &target, const std::string &moreHeaders)
{
    return "POST " + target + " HTTP/1.0\r\nHost: h\r\nRequest-Id: r1\r\n"
           + "Authorization: Bearer k1\r\nContent-Length: 4\r\n" + moreHeaders + "\r\n";
}

/// An endpoint that streams two events, the second one incomplete if `isBroken`.
class Http10 : public testing::TestWithParam<const char *>
{
protected:
    std::string ask(bool isBroken)
    {
        const RawEndpoint endpoint([=](int socket, const std::string &call, unsigned) {
            const std::string events = eventText(1) + eventText(2);
            const std::string body = isBroken ? events.substr(0, events.size() - 5) : events;
            RawEndpoint::write(socket, streamAnswer(call, body, Framing::UntilClose));
        });
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "stream", endpoint.address(), 1);
        const RawCaller caller(harness.url());
        caller.send(http10Request("/stream/x", GetParam()) + "body");
        std::string answer = caller.readToEnd();
        m_wasReset = caller.wasReset();
        return answer;
    }

    bool m_wasReset = false;
};

} // namespace

// Streams came in chunks, whose sizes such a caller takes for parts of the stream.
TEST_P(Http10, AStreamEndsWithItsConnection)
{
    const std::string answer = ask(false);
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\n" + eventText(1) + eventText(2))) << answer;
    EXPECT_EQ(headerOf(answer, "Transfer-Encoding"), "") << answer;
    EXPECT_EQ(headerOf(answer, "Connection"), "close") << answer;
    EXPECT_FALSE(m_wasReset);
}

// A stream that ended after its last whole event looked complete.
TEST_P(Http10, AStreamThatBrokeOffEndsWithAReset)
{
    const std::string answer = ask(true);
    EXPECT_EQ(countOf(answer, "piece 2"), 0U) << answer;
    EXPECT_TRUE(m_wasReset) << answer;
}

INSTANTIATE_TEST_SUITE_P(Callers, Http10, testing::Values("", "Connection: keep-alive\r\n"));

// An interim answer came to callers that know none and was taken for the answer.
TEST(Http10Callers, GetNoInterimAnswer)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const std::string answer =
            sendRequest(harness, http10Request("/once/x", "Expect: 100-continue\r\n") + "body");
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_EQ(countOf(answer, "HTTP/1.1"), 1U) << answer;
}

} // namespace almondmill::test
