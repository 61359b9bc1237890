// Guards against callers that send bytes without end or very slowly: each such request ends, the
// router reads no more of it than its limits allow, and it goes on serving others.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t MaxWrittenBytes = std::size_t(64) << 20U;

/// The limits of a request below, with what the sockets of both sides buffer.
constexpr std::size_t MaxAcceptedBytes = std::size_t(16) << 20U;

constexpr milliseconds HeaderTimeout{500};
constexpr milliseconds LongestRequest{2500};

struct EndlessRequest
{
    const char *name;
    std::string start;
    std::string piece;
    milliseconds pause{0};
};

std::vector<EndlessRequest> endlessRequests()
{
    const std::string line = "POST /once/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                             "Authorization: Bearer k1\r\n";
    const std::string chunked = line + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"Target", "POST /once/", "abcdefgh"},
            {"HeaderField", line + "X-Long: ", "abcdefgh"},
            {"HeaderFields", line, "X-Field: abcdefgh\r\n"},
            {"EmptyLines", "", "\r\n"},
            {"Chunks", chunked, "8\r\nabcdefgh\r\n"},
            {"ChunkExtension", chunked + "8;x=", "abcdefgh"},
            {"Trailers", chunked + "0\r\n", "X-Field: abcdefgh\r\n"},
            {"Length", line + "Content-Length: 99999999999\r\n\r\n", "abcdefgh"},
            {"SlowHead", line + "X-Slow: ", "x", milliseconds(50)}};
}

/// Sends the request until the router closes the connection; returns the bytes sent.
std::size_t sendWithoutEnd(const std::string &url, const EndlessRequest &request)
{
    boost::asio::io_context loop;
    boost::asio::ip::tcp::socket socket(loop);
    const std::string address = url.substr(std::string("http://").size());
    const auto colon = address.find(':');
    socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    std::string block = request.piece;
    while (request.pause.count() == 0 && block.size() < 65536)
        block += request.piece;
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(request.start), error);
    std::size_t written = 0;
    while (!error && written < MaxWrittenBytes) {
        written += boost::asio::write(socket, boost::asio::buffer(block), error);
        std::this_thread::sleep_for(request.pause);
    }
    return written;
}

class EndlessRequests : public testing::TestWithParam<EndlessRequest>
{};

} // namespace

TEST_P(EndlessRequests, EndAndLeaveOthersServed)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    RoutingConfiguration configuration = oneRouteOfEachKind();
    configuration.bounds.headerTimeout = HeaderTimeout;
    ForwardingHarness harness;
    harness.configure(configuration);
    harness.addEndpoint("e1", "once", endpoint.address());
    const auto startedAt = Clock::now();
    EXPECT_LT(sendWithoutEnd(harness.url(), GetParam()), MaxAcceptedBytes);
    EXPECT_LT(Clock::now() - startedAt, LongestRequest);
    EXPECT_EQ(endpoint.calls(), 0U);
    EXPECT_TRUE(hasStatus(sendRequest(harness, requestText("POST", "/once/x")), 200));
}

INSTANTIATE_TEST_SUITE_P(Bytes, EndlessRequests, testing::ValuesIn(endlessRequests()),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

} // namespace almondmill::test
