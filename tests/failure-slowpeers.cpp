// Guards slow but sound peers, whose messages arrive or are read in small pieces: they are served
// as long as they go on, and an answer that never ends is cut at the request's deadline.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

void writeByteByByte(int socket, const std::string &text)
{
    for (const char byte : text) {
        RawEndpoint::write(socket, std::string(1, byte));
        std::this_thread::sleep_for(milliseconds(2));
    }
}

/// A caller with a small receive buffer that reads `pieceBytes` at most in each `interval`.
std::string readSlowly(const std::string &url, const std::string &request, std::size_t pieceBytes,
                       milliseconds interval)
{
    namespace ip = boost::asio::ip;
    boost::asio::io_context loop;
    ip::tcp::socket socket(loop, ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(int(pieceBytes)));
    const std::string address = url.substr(std::string("http://").size());
    const auto colon = address.find(':');
    socket.connect({ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string text;
    std::string piece(pieceBytes, '\0');
    boost::system::error_code error;
    while (!error) {
        text.append(piece, 0, socket.read_some(boost::asio::buffer(piece), error));
        std::this_thread::sleep_for(interval);
    }
    return text;
}

} // namespace

TEST(SlowPeers, APlainAnswerThatArrivesByteByByteIsDelivered)
{
    for (const Framing framing : {Framing::Chunked, Framing::Length, Framing::UntilClose}) {
        const RawEndpoint endpoint([=](int socket, const std::string &call, unsigned) {
            writeByteByByte(socket, streamAnswer(call, "whole", framing));
        });
        for (const char *route : {"once", "any"}) {
            ForwardingHarness harness;
            harness.configure(oneRouteOfEachKind());
            harness.addEndpoint("e1", route, endpoint.address());
            const std::string answer = sendRequest(
                    harness, requestText("POST", std::string("/") + route + "/x", {}, "body"));
            EXPECT_TRUE(hasStatus(answer, 200)) << answer;
            EXPECT_TRUE(answer.ends_with("\r\n\r\nwhole")) << answer;
        }
    }
}

TEST(SlowPeers, APlainAnswerWithoutEndIsCutAtTheDeadline)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedHead(call, ""));
        while (RawEndpoint::write(socket, "x"))
            std::this_thread::sleep_for(milliseconds(20));
    });
    for (const char *route : {"once", "any"}) {
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", route, endpoint.address());
        const auto startedAt = Clock::now();
        const std::string answer =
                sendRequest(harness, requestText("POST", std::string("/") + route + "/x",
                                                 "Deadline-Ms: 400\r\n"));
        EXPECT_TRUE(hasStatus(answer, 504)) << answer;
        EXPECT_LT(Clock::now() - startedAt, milliseconds(900));
    }
}

TEST(SlowPeers, ARequestThatArrivesByteByByteIsServed)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        const std::string body = call.substr(call.find("\r\n\r\n") + 4);
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", body, "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const RawCaller caller(harness.url());
    for (const char byte : requestText("POST", "/once/x", {}, "the whole body")) {
        caller.send(std::string(1, byte));
        std::this_thread::sleep_for(milliseconds(2));
    }
    const std::string answer = caller.readToEnd();
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nthe whole body")) << answer;
}

// A caller that reads steadily must not be disconnected because the whole answer takes long.
TEST(SlowPeers, ALargeAnswerIsDeliveredToACallerThatReadsSlowly)
{
    const std::string body(std::size_t(4) << 20U, 'x');
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", body, "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const std::string answer = readSlowly(harness.url(), requestText("POST", "/once/x"),
                                          std::size_t(16) << 10U, milliseconds(32));
    EXPECT_TRUE(hasStatus(answer, 200));
    EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, body.size());
}

} // namespace almondmill::test
