// Guards against endpoints that send bytes without end, in a head or in a body, until their peer
// closes: the router must close the connection, keep its memory bounded, answer the caller with an
// error and go on serving others.

#include "support/caller.h"
#include "support/endlessendpoint.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/endpointview.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

/// What the router may take in of one answer, with what the sockets of both sides buffer.
constexpr std::size_t MaxAcceptedBytes = std::size_t(16) << 20U;

const std::string SignedHead = "Server-Signature: s1\r\nRequest-Id: r1\r\n";

/// Sends a request to an endless endpoint and one to a sound endpoint.
void expectBounded(const std::string &route, const std::string &start, const std::string &piece)
{
    EndlessEndpoint endless(start, piece);
    const RawEndpoint sound([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", route, endless.address());
    harness.addEndpoint("e2", "any", sound.address());
    const auto answer = sendRequest(harness, requestText("POST", "/" + route + "/x", {}, "body"));
    EXPECT_TRUE(answer.empty() || answer.starts_with("HTTP/1.1 502 ")
                || answer.find("\r\n0\r\n\r\n") == std::string::npos)
            << answer.substr(0, 200);
    EXPECT_LT(endless.writtenBytes(), MaxAcceptedBytes);
    harness.onLoop([](ForwardingContext &context) {
        const auto view = context.endpoints.find("e1");
        EXPECT_GT(view->health().failureShare(std::chrono::steady_clock::now()), 0);
    });
    const auto next = sendRequest(harness, requestText("GET", "/any/x"));
    EXPECT_TRUE(next.starts_with("HTTP/1.1 200 ")) << next;
}

} // namespace

TEST(EndlessBytes, AStatusLineWithoutEnd)
{
    expectBounded("once", "HTTP/1.1 200 ", "OK");
}

TEST(EndlessBytes, AHeaderFieldWithoutEnd)
{
    expectBounded("once", "HTTP/1.1 200 OK\r\nX-Long: ", "abcdefgh");
}

TEST(EndlessBytes, HeaderFieldsWithoutEnd)
{
    expectBounded("once", "HTTP/1.1 200 OK\r\n", "X-Field: abcdefgh\r\n");
}

TEST(EndlessBytes, InformationalAnswersWithoutEnd)
{
    expectBounded("once", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
}

TEST(EndlessBytes, AnswersToOtherRequestsWithoutEnd)
{
    expectBounded("once", "",
                  "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nbody");
}

TEST(EndlessBytes, ABodyWithoutLength)
{
    expectBounded("once", "HTTP/1.1 200 OK\r\n" + SignedHead + "\r\n", "abcdefgh");
}

TEST(EndlessBytes, AChunkedBodyWithoutEnd)
{
    expectBounded("once", "HTTP/1.1 200 OK\r\n" + SignedHead + "Transfer-Encoding: chunked\r\n\r\n",
                  "8\r\nabcdefgh\r\n");
}

TEST(EndlessBytes, AChunkExtensionWithoutEnd)
{
    expectBounded("once",
                  "HTTP/1.1 200 OK\r\n" + SignedHead + "Transfer-Encoding: chunked\r\n\r\n8;x=",
                  "abcdefgh");
}

TEST(EndlessBytes, TrailersWithoutEnd)
{
    expectBounded("once",
                  "HTTP/1.1 200 OK\r\n" + SignedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                  "X-Field: abcdefgh\r\n");
}

TEST(EndlessBytes, AnEventWithoutEnd)
{
    expectBounded("stream",
                  "HTTP/1.1 200 OK\r\n" + SignedHead + "Content-Type: text/event-stream\r\n\r\n",
                  "data: abcdefgh\n");
}

} // namespace almondmill::test
