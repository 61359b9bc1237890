// Guards against endpoints that send bytes without end, in a head or in a body, until their peer
// closes: the router must close the connection, keep its memory bounded, answer the caller with an
// error and go on serving others.

#include "support/caller.h"
#include "support/endlessendpoint.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <thread>
#include <vector>

#include <unistd.h>

namespace almondmill::test {

namespace {

/// What the router may take in of one answer, with what the sockets of both sides buffer.
constexpr std::size_t MaxAcceptedBytes = std::size_t(16) << 20U;

const std::string SignedHead = "Server-Signature: s1\r\nRequest-Id: r1\r\n";

/// Requests that wait for endless answers at once, and the memory that they may take together; a
/// VM may have 96 MB in all.
constexpr int RequestsAtOnce = 40;
constexpr std::size_t MaxMemoryGrowth = std::size_t(56) << 20U;

/// Memory that this process uses, in bytes.
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Sends many requests at once to an endpoint whose answers have no end, and a sound one after
/// the other beside them.
void expectBoundedTogether(const std::string &route, const std::string &start,
                           const std::string &piece)
{
    EndlessEndpoint endless(start, piece);
    const RawEndpoint sound([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", route, endless.address());
    harness.addEndpoint("e2", "any", sound.address());
    ASSERT_TRUE(sendRequest(harness, requestText("GET", "/any/x")).starts_with("HTTP/1.1 200 "));
    const std::size_t before = residentBytes();
    std::atomic<int> running{RequestsAtOnce};
    std::vector<std::thread> callers;
    callers.reserve(RequestsAtOnce);
    for (int caller = 0; caller < RequestsAtOnce; ++caller) {
        callers.emplace_back([&] {
            const auto answer =
                    sendRequest(harness, requestText("POST", "/" + route + "/x", {}, "body"));
            EXPECT_FALSE(answer.starts_with("HTTP/1.1 200 ")
                         && answer.find("\r\n0\r\n\r\n") != std::string::npos);
            --running;
        });
    }
    std::size_t most = before;
    while (running > 0) {
        most = std::max(most, residentBytes());
        const auto answer = sendRequest(harness, requestText("GET", "/any/x"));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer.substr(0, 200);
    }
    for (std::thread &caller : callers)
        caller.join();
    EXPECT_LT(most - before, MaxMemoryGrowth);
}

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

// Guards against bodies without end on many connections, which fill the memory together although
// each is bounded, so that the process ends with the requests of all callers.
TEST(EndlessBytes, BodiesWithoutEndOnManyConnections)
{
    expectBoundedTogether("once", "HTTP/1.1 200 OK\r\n" + SignedHead + "\r\n", "abcdefgh");
}

TEST(EndlessBytes, ChunkedBodiesWithoutEndOnManyConnections)
{
    expectBoundedTogether("once",
                          "HTTP/1.1 200 OK\r\n" + SignedHead + "Transfer-Encoding: chunked\r\n\r\n",
                          "8\r\nabcdefgh\r\n");
}

TEST(EndlessBytes, EventsWithoutEndOnManyConnections)
{
    expectBoundedTogether("stream",
                          "HTTP/1.1 200 OK\r\n" + SignedHead
                                  + "Content-Type: text/event-stream\r\n\r\n",
                          "data: abcdefgh\n");
}

TEST(EndlessBytes, HeadsWithoutEndOnManyConnections)
{
    expectBoundedTogether("once", "HTTP/1.1 200 OK\r\nX-Long: ", "abcdefgh");
}

// Guards against an engine whose answer to the router's own call fills the memory.
TEST(EndlessBytes, AnAnswerToAnOwnCallIsBounded)
{
    constexpr std::uint64_t MaxAnswerBytes = 1000;
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket,
                           signedAnswer(call, "200 OK", std::string(MaxAnswerBytes + 1, 'x')));
    });
    boost::asio::io_context loop;
    HttpClient client(loop.get_executor(), parseSocketAddress(endpoint.address()), MaxAnswerBytes);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    auto outcome = boost::asio::co_spawn(loop, client.call("GET", "/x", "", "", deadline),
                                         boost::asio::use_future);
    loop.run_for(std::chrono::seconds(5));
    EXPECT_TRUE(std::holds_alternative<HttpFailure>(outcome.get()));
}

} // namespace almondmill::test
