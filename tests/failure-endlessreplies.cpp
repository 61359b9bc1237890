// Guards calls to the platform's store and to the product's own endpoints against replies without
// end: each call must end with a failure in time, and must not read more than its bound.

#include "support/endlessendpoint.h"
#include "support/rawendpoint.h"

#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/statusclient.h"
#include "almondmill/http/httpclient.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/orders/engineorder.h"
#include "almondmill/orders/httpenginecontrol.h"
#include "almondmill/store/httpplatform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds Timeout{1500};

/// Twice the timeout, as a call may first wait for its connection, and time to close it.
constexpr milliseconds LongestCall{4000};

/// What a call may take in of one reply, with what the sockets of both sides buffer.
constexpr std::size_t MaxAcceptedBytes = std::size_t(40) << 20U;

struct EndlessReply
{
    const char *name;
    std::string start;
    std::string piece;
    milliseconds pause{0};
};

std::vector<EndlessReply> endlessReplies()
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"StatusLine", "HTTP/1.1 200 ", "OK"},
            {"HeaderField", ok + "X-Long: ", "abcdefgh"},
            {"HeaderFields", ok, "X-Field: abcdefgh\r\n"},
            {"InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            {"BodyWithoutLength", ok + "\r\n", "abcdefgh"},
            {"Chunks", chunked, "8\r\nabcdefgh\r\n"},
            {"ChunkExtension", chunked + "8;x=", "abcdefgh"},
            {"Trailers", chunked + "0\r\n", "X-Field: abcdefgh\r\n"},
            {"SlowHead", ok + "X-Slow: ", "x", milliseconds(100)},
            {"SlowBody", ok + "\r\n", "x", milliseconds(100)}};
}

class EndlessReplies : public testing::TestWithParam<EndlessReply>
{
protected:
    EndlessReplies()
        : endpoint(GetParam().start, GetParam().piece, GetParam().pause)
    {}

    ~EndlessReplies() override
    {
        EXPECT_LT(Clock::now() - m_startedAt, LongestCall);
        EXPECT_LT(endpoint.writtenBytes(), MaxAcceptedBytes);
    }

    EndlessEndpoint endpoint;

private:
    Clock::time_point m_startedAt = Clock::now();
};

/// Sends a change with the client of the event loop.
HttpOutcome callOfTheEventLoop(const std::string &address)
{
    boost::asio::io_context loop;
    const auto colon = address.find(':');
    HttpClient client(loop.get_executor(),
                      {boost::asio::ip::make_address(address.substr(0, colon)),
                       static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    auto outcome =
            boost::asio::co_spawn(loop, client.call("PUT", "/a", "", "{}", Clock::now() + Timeout),
                                  boost::asio::use_future);
    loop.run();
    return outcome.get();
}

/// Takes all bytes and uses them at once, as a relay of a stream does.
class Consumer : public AttemptObserver
{
public:
    bool onHead(const AttemptHead &) override { return true; }
    bool onBytes(std::string_view bytes) override { return (taken += bytes.size()) < MaxBytes; }

    static constexpr std::size_t MaxBytes = std::size_t(4) << 20U;
    std::size_t taken = 0;
};

} // namespace

// A reply of the store without end filled the memory, and one that came byte by byte held its call.
TEST_P(EndlessReplies, OfTheStoreEndTheCall)
{
    Metrics metrics;
    HttpPlatform store("http://" + endpoint.address(), metrics);
    EXPECT_TRUE(std::holds_alternative<Unavailable>(store.read("a", Timeout)));
}

TEST_P(EndlessReplies, ToAnUpdateLeaveItsOutcomeUnknown)
{
    Metrics metrics;
    HttpPlatform store("http://" + endpoint.address(), metrics);
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(store.update("a", "value", 1, Timeout)));
}

TEST_P(EndlessReplies, EndACallOfTheEventLoop)
{
    const HttpOutcome outcome = callOfTheEventLoop(endpoint.address());
    const auto *failure = std::get_if<HttpFailure>(&outcome);
    ASSERT_NE(failure, nullptr);
    EXPECT_TRUE(failure->sent);
}

// An interim answer of the store counted as its reply: "not applied", although the change followed.
TEST(StoreReplies, AnInterimAnswerIsNoReply)
{
    const RawEndpoint endpoint([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 103 Early Hints\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    });
    const HttpOutcome outcome = callOfTheEventLoop(endpoint.address());
    const auto *reply = std::get_if<HttpReply>(&outcome);
    ASSERT_NE(reply, nullptr);
    EXPECT_EQ(reply->head.status, 200U);
    EXPECT_EQ(reply->body, "{}");
}

TEST_P(EndlessReplies, OfAnEndpointEndTheAttempt)
{
    AttemptRequest request;
    request.address = endpoint.address();
    request.method = "POST";
    request.path = "/v1/completions";
    request.attemptId = "a1";
    request.readTimeout = Timeout;
    Attempt attempt;
    std::thread watch([&] {
        std::this_thread::sleep_for(Timeout);
        attempt.cancel(); // As the deadline of a request does.
    });
    Consumer consumer;
    EXPECT_FALSE(std::holds_alternative<AttemptCompleted>(attempt.run(request, consumer)));
    watch.join();
}

TEST_P(EndlessReplies, ToStatusAndOrderCallsEndThem)
{
    StatusClient status(endpoint.address(), Timeout / 4);
    EXPECT_FALSE(status.fetch());
    HttpEngineControl control;
    EXPECT_FALSE(control.status(endpoint.address(), Timeout / 4));
    EXPECT_TRUE(std::holds_alternative<OrderUnanswered>(
            control.order(endpoint.address(), EngineOrder(), Timeout / 4)));
}

INSTANTIATE_TEST_SUITE_P(Bytes, EndlessReplies, testing::ValuesIn(endlessReplies()),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

} // namespace almondmill::test
