// Guards requests whose answer is lost at any point, or malformed: they never run twice where the
// route forbids it, and callers are never told "not run".

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>

#include <atomic>
#include <random>
#include <thread>

namespace almondmill::test {

namespace {

/// Where an endpoint's answer breaks off.
enum class LossPoint { BeforeTheHead, InTheHead, AfterTheHead, InTheBody };

constexpr LossPoint AllLossPoints[] = {LossPoint::BeforeTheHead, LossPoint::InTheHead,
                                       LossPoint::AfterTheHead, LossPoint::InTheBody};

std::string answerUpTo(const std::string &call, LossPoint point)
{
    const std::string answer = streamAnswer(call, eventText(1) + eventText(2), Framing::Chunked);
    const auto headEnd = answer.find("\r\n\r\n") + 4;
    switch (point) {
    case LossPoint::BeforeTheHead:
        return {};
    case LossPoint::InTheHead:
        return answer.substr(0, headEnd - 10);
    case LossPoint::AfterTheHead:
        return answer.substr(0, headEnd);
    case LossPoint::InTheBody:
        break;
    }
    return answer.substr(0, answer.find("piece 2"));
}

constexpr unsigned MaxAttempts = 3;

RoutingConfiguration withSeveralAttempts()
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    for (Route &route : configuration.routes)
        route.maxAttempts = MaxAttempts;
    return configuration;
}

/// Runs of a request at two endpoints that both break off. A stream that has begun is continued at
/// an endpoint that was tried before, up to the route's attempts.
unsigned allowedRuns(const std::string &route, LossPoint point)
{
    if (route == "once" || route == "stream")
        return 1;
    const bool hasBegun = route == "resume" && point == LossPoint::InTheBody;
    return hasBegun ? MaxAttempts : 2;
}

bool isNotRunStatus(const std::string &answer)
{
    return hasStatus(answer, 408) || hasStatus(answer, 421) || hasStatus(answer, 429)
           || hasStatus(answer, 503);
}

bool looksComplete(const std::string &answer)
{
    return hasStatus(answer, 200)
           && (headerOf(answer, "Transfer-Encoding").empty() || endsWithLastChunk(answer));
}

} // namespace

TEST(BrokenAnswers, NeverMakeARequestRunTwiceOrSeemNotRun)
{
    for (const char *route : {"once", "any", "stream", "resume"}) {
        for (const LossPoint point : AllLossPoints) {
            for (const bool isReset : {true, false}) {
                std::atomic<unsigned> runs{0};
                const auto lose = [&](int socket, const std::string &call, unsigned) {
                    if (call.empty())
                        return;
                    ++runs;
                    RawEndpoint::write(socket, answerUpTo(call, point));
                    if (isReset)
                        RawEndpoint::resetOnClose(socket);
                };
                const RawEndpoint first(lose);
                const RawEndpoint second(lose);
                ForwardingHarness harness;
                harness.configure(withSeveralAttempts());
                harness.addEndpoint("e1", route, first.address(), 1);
                harness.addEndpoint("e2", route, second.address(), 1);
                const std::string answer = sendRequest(
                        harness, requestText("POST", std::string("/") + route + "/x", {}, "body"));
                SCOPED_TRACE(std::string(route) + " point " + std::to_string(int(point)));
                EXPECT_EQ(runs, allowedRuns(route, point));
                EXPECT_FALSE(answer.empty());
                EXPECT_FALSE(isNotRunStatus(answer)) << answer;
                EXPECT_FALSE(looksComplete(answer)) << answer;
            }
        }
    }
}

// A request that may run once is sent on a kept connection which the endpoint resets at that
// moment.
TEST(BrokenAnswers, OnAKeptConnectionNeverMakeARequestRunTwiceOrSeemNotRun)
{
    for (const LossPoint point : AllLossPoints) {
        std::atomic<unsigned> runs{0};
        const RawEndpoint endpoint([&](int socket, const std::string &first, unsigned) {
            if (first.empty())
                return;
            RawEndpoint::write(socket, signedAnswer(first, "200 OK", "done"));
            const std::string call = RawEndpoint::readCall(socket);
            if (call.empty())
                return;
            ++runs;
            RawEndpoint::write(socket, answerUpTo(call, point));
            RawEndpoint::resetOnClose(socket);
        });
        ForwardingHarness harness;
        harness.configure(withSeveralAttempts());
        harness.addEndpoint("e1", "once", endpoint.address());
        const std::string call = requestText("POST", "/once/x", {}, "body");
        EXPECT_TRUE(hasStatus(sendRequest(harness, call), 200));
        const std::string answer = sendRequest(harness, call);
        EXPECT_EQ(runs, 1U);
        EXPECT_TRUE(hasStatus(answer, 502)) << answer;
    }
}

TEST(MalformedAnswers, AHeadThatArrivesByteByByteEndsAtTheDeadline)
{
    const RawEndpoint endpoint([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nX-Slow: ");
        while (RawEndpoint::write(socket, "x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    for (const char *route : {"once", "any", "stream", "resume"}) {
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", route, endpoint.address(), 1);
        const auto startedAt = std::chrono::steady_clock::now();
        const std::string answer =
                sendRequest(harness, requestText("POST", std::string("/") + route + "/x",
                                                 "Deadline-Ms: 400\r\n"));
        EXPECT_TRUE(hasStatus(answer, 504)) << route << answer;
        EXPECT_LT(std::chrono::steady_clock::now() - startedAt, std::chrono::milliseconds(900));
    }
}

// Each answer has some bytes changed, removed or repeated. Whatever it is then, it ends one request
// at most, and never as a refusal.
TEST(MalformedAnswers, EndOneRequestOnlyAndNeverAsARefusal)
{
    constexpr unsigned Seeds = 400;
    std::atomic<unsigned> seed{0};
    std::string changed;
    const RawEndpoint garbling([&](int socket, const std::string &call, unsigned) {
        if (call.empty())
            return;
        std::mt19937 random(seed);
        std::string answer = signedAnswer(call, "200 OK", "answer", "X-Other: value\r\n");
        for (unsigned change = 0; change <= random() % 4; ++change) {
            const std::size_t at = random() % answer.size();
            const std::size_t bytes = 1 + random() % 12;
            if (random() % 3 == 0)
                answer.erase(at, bytes);
            else if (random() % 2 == 0)
                answer.insert(at, answer.substr(at, bytes));
            else
                answer[at] = static_cast<char>(random());
        }
        changed = answer;
        RawEndpoint::write(socket, answer);
    });
    const RawEndpoint sound([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", garbling.address());
    harness.addEndpoint("e2", "any", sound.address());
    const std::string call = requestText("POST", "/once/x", "Deadline-Ms: 3000\r\n", "body");
    for (; seed < Seeds; ++seed) {
        const std::string answer = sendRequest(harness, call);
        EXPECT_FALSE(answer.empty()) << seed;
        EXPECT_FALSE(hasStatus(answer, 503)) << seed << changed << "\n->\n" << answer;
    }
    EXPECT_TRUE(hasStatus(sendRequest(harness, requestText("GET", "/any/x")), 200));
}

} // namespace almondmill::test
