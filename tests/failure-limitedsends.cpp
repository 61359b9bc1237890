// Guards the limit of an endpoint on each way in which one router sends requests to it, and what
// callers get that find no permit.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/waituntil.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/peers/sendpermits.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr const char *LimitOfTwo = "Server-Limit: 2\r\n";

/// Requests that the users allow in 4 s at a limit of 2 per second: 1.5 times 8, and 5.
constexpr std::size_t AllowedAtTwo = 17;

/// An endpoint that answers each request with the fields of the present, and counts the requests.
class StatingEndpoint
{
public:
    explicit StatingEndpoint(const std::string &statusLine, const std::string &fields)
        : m_statusLine(statusLine)
        , m_fields(fields)
        , m_endpoint([this](int socket, const std::string &first, unsigned) {
            for (std::string call = first; !call.empty(); call = RawEndpoint::readCall(socket))
                RawEndpoint::write(socket, answerTo(call));
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }

    void setFields(const std::string &fields)
    {
        const std::lock_guard lock(m_mutex);
        m_fields = fields;
    }

    std::size_t arrivals() const
    {
        const std::lock_guard lock(m_mutex);
        return m_arrivals.size();
    }

    /// The most requests in 4 s, but for the first one, which heard of the limit.
    std::size_t mostInWindow() const
    {
        const std::lock_guard lock(m_mutex);
        std::size_t most = 0;
        for (std::size_t first = 1; first < m_arrivals.size(); ++first) {
            const auto end = std::lower_bound(m_arrivals.begin(), m_arrivals.end(),
                                              m_arrivals[first] + seconds(4));
            most = std::max(most, static_cast<std::size_t>(end - m_arrivals.begin()) - first);
        }
        return most;
    }

private:
    std::string answerTo(const std::string &call)
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals.push_back(Clock::now());
        return signedAnswer(call, m_statusLine, "x", m_fields);
    }

    mutable std::mutex m_mutex;
    const std::string m_statusLine;
    std::string m_fields;
    std::vector<Clock::time_point> m_arrivals;
    RawEndpoint m_endpoint;
};

std::string ask(const ForwardingHarness &harness, const std::string &target, std::size_t number)
{
    const RawCaller caller(harness.url());
    caller.send("POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + std::to_string(number)
                + "\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
                  "body");
    return caller.readToEnd();
}

/// Sends requests for that time; returns the answers.
std::vector<std::string> askFor(const ForwardingHarness &harness, const std::string &target,
                                milliseconds time)
{
    constexpr milliseconds Interval{20};
    std::vector<std::string> answers;
    for (const auto end = Clock::now() + time; Clock::now() < end;) {
        answers.push_back(ask(harness, target, answers.size()));
        std::this_thread::sleep_for(Interval);
    }
    return answers;
}

bool isServed(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

/// Requests hardly wait for a permit, and a silent endpoint is noticed soon.
RoutingConfiguration withShortTargets()
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    for (Route &route : configuration.routes) {
        route.targetLatency = milliseconds(50);
        route.timeout = milliseconds(1500);
    }
    return configuration;
}

} // namespace

TEST(LimitedSends, RepeatsOfRefusedRequestsStayWithinTheLimit)
{
    const StatingEndpoint full("503 Service Unavailable", "Not-Executed: 1\r\n");
    const StatingEndpoint limited("200 OK", LimitOfTwo);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("limited", "any", limited.address());
    ask(harness, "/any/x", 1000);
    harness.addEndpoint("full", "any", full.address());
    askFor(harness, "/any/x", seconds(7));
    EXPECT_LE(limited.mostInWindow(), AllowedAtTwo);
    EXPECT_GE(limited.arrivals(), 6U);
}

// A limited endpoint gets nothing from a router that only suspects another one.
TEST(LimitedSends, ASilentEndpointIsNotReplacedByOneWithALimit)
{
    const RawEndpoint silent(
            [](int socket, const std::string &, unsigned) { RawEndpoint::waitForClose(socket); });
    const StatingEndpoint limited("200 OK", LimitOfTwo);
    ForwardingHarness harness;
    harness.configure(withShortTargets());
    harness.addEndpoint("limited", "any", limited.address());
    ask(harness, "/any/x", 1);
    ASSERT_TRUE(waitUntil([&] { return isServed(ask(harness, "/any/x", 2)); }, seconds(5)));
    const std::size_t before = limited.arrivals();
    harness.addEndpoint("silent", "any", silent.address());
    std::thread other([&] { ask(harness, "/any/x", 3); });
    std::thread another([&] { ask(harness, "/any/x", 4); });
    other.join();
    another.join();
    EXPECT_LE(limited.arrivals(), before + 1);
}

TEST(LimitedSends, WhatCannotBeServedIsRefusedAtOnceAndToldToReturnOneAfterTheOther)
{
    const StatingEndpoint limited("200 OK", LimitOfTwo);
    ForwardingHarness harness;
    harness.configure(withShortTargets());
    harness.addEndpoint("limited", "once", limited.address());
    std::this_thread::sleep_for(SendPermits::StartDelay);
    std::set<std::string> returns;
    std::size_t refused = 0;
    ASSERT_TRUE(isServed(ask(harness, "/once/x", 0)));
    for (std::size_t number = 1; number < 20; ++number) {
        const auto sentAt = Clock::now();
        const std::string answer = ask(harness, "/once/x", number);
        if (isServed(answer))
            continue;
        EXPECT_LT(Clock::now() - sentAt, milliseconds(300));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        returns.insert(headerOf(answer, "Retry-After"));
        ++refused;
    }
    EXPECT_GE(refused, 10U);
    EXPECT_GE(returns.size() + 2, refused);
    EXPECT_LE(limited.mostInWindow(), AllowedAtTwo);
}

TEST(LimitedSends, TrafficReturnsWhenAnAnswerNoLongerNamesALimit)
{
    StatingEndpoint limited("200 OK", "Server-Limit: 4\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("limited", "any", limited.address());
    askFor(harness, "/any/x", SendPermits::StartDelay + milliseconds(500));
    limited.setFields("");
    askFor(harness, "/any/x", milliseconds(2500));
    const auto answers = askFor(harness, "/any/x", milliseconds(500));
    EXPECT_TRUE(std::all_of(answers.begin(), answers.end(), isServed));
}

// An endpoint that takes nothing states in no answer that it takes requests again.
TEST(LimitedSends, TheEndOfALimitOfZeroIsHeardOf)
{
    StatingEndpoint limited("200 OK", "Server-Limit: 0\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("limited", "any", limited.address());
    askFor(harness, "/any/x", seconds(3));
    EXPECT_LE(limited.arrivals(), 2U);
    limited.setFields("");
    askFor(harness, "/any/x", seconds(9));
    EXPECT_TRUE(isServed(ask(harness, "/any/x", 1000)));
}

// Prompts queued at engines until their callers had left, which then got no answer.
TEST(LimitedSends, APromptWhoseCallerWouldLeaveFirstIsRefusedAtOnce)
{
    constexpr std::uint64_t TokensOfLongWait = 1'000'000;
    const StatingEndpoint busy("200 OK", "");
    ForwardingHarness harness;
    harness.configure(withShortTargets());
    harness.addEndpoint("busy", "stream", busy.address(), 1);
    harness.onLoop([](ForwardingContext &context) {
        context.endpoints.find("busy")->prefillStarted(TokensOfLongWait);
    });
    const std::string prompt = "Model: m\r\nToken-Usage: 30,5\r\nPrompt-Prefix: a:10,b:20\r\n";
    const std::string answer = sendRequest(harness, requestText("POST", "/stream/x", prompt));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_GT(std::stod("0" + headerOf(answer, "Retry-After")), 5.0) << answer;
    EXPECT_EQ(busy.arrivals(), 0U);
}

// A new incarnation begins without the limit of the one before.
TEST(LimitedSends, AnotherIncarnationAtTheAddressHasNoLimit)
{
    StatingEndpoint endpoint("200 OK", "Server-Limit: 0\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("first", "any", endpoint.address());
    ask(harness, "/any/x", 1);
    EXPECT_FALSE(isServed(ask(harness, "/any/x", 2)));
    endpoint.setFields("");
    harness.onLoop([](ForwardingContext &context) { context.directory.remove("first", 0); });
    harness.addEndpoint("second", "any", endpoint.address());
    EXPECT_TRUE(isServed(ask(harness, "/any/x", 3)));
}

} // namespace almondmill::test
