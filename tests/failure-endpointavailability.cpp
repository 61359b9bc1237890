// Guards the two statements of endpoints about themselves: one that shuts down gets no new requests
// from the router that it told so, and one that asks for a pause gets none until the pause ends.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/waituntil.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/kernel/boottime.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr const char *LeavingField = "Server-Leaving: 1\r\n";
constexpr const char *RefusalLine = "503 Service Unavailable";
constexpr std::size_t LaterRequests = 60;

std::string requestWithId(const std::string &target, const std::string &id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
}

std::string ask(const ForwardingHarness &harness, const std::string &target, const std::string &id)
{
    const RawCaller caller(harness.url());
    caller.send(requestWithId(target, id));
    return caller.readToEnd();
}

/// Answers every request with the same status line and fields, after `work`, and counts them.
class CountingEndpoint
{
public:
    explicit CountingEndpoint(const std::string &statusLine, const std::string &moreFields = {},
                              milliseconds work = milliseconds(0))
        : m_endpoint([=, this](int socket, const std::string &first, unsigned) {
            for (std::string call = first; !call.empty(); call = RawEndpoint::readCall(socket)) {
                ++m_arrivals;
                std::this_thread::sleep_for(work);
                RawEndpoint::write(socket, signedAnswer(call, statusLine, "x", moreFields));
            }
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }
    unsigned arrivals() const { return m_arrivals; }

private:
    std::atomic<unsigned> m_arrivals{0};
    RawEndpoint m_endpoint;
};

/// Counts requests on all connections; those that arrive at least `Tolerance` after the first
/// refusal are counted apart.
class PausingEndpoint
{
public:
    explicit PausingEndpoint(const std::string &retryAfter)
        : m_endpoint([this, retryAfter](int socket, const std::string &first, unsigned) {
            for (std::string call = first; !call.empty(); call = RawEndpoint::readCall(socket)) {
                recordArrival();
                RawEndpoint::write(socket, signedAnswer(call, RefusalLine, "",
                                                        "Not-Executed: 1\r\nRetry-After: "
                                                                + retryAfter + "\r\n"));
            }
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }
    unsigned arrivals() const { return m_arrivals; }
    unsigned lateArrivals() const { return m_lateArrivals; }

private:
    static constexpr milliseconds Tolerance{500};

    void recordArrival()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = Clock::now();
        if (m_arrivals == 0)
            m_firstArrival = now;
        ++m_arrivals;
        if (now > m_firstArrival + Tolerance)
            ++m_lateArrivals;
    }

    std::mutex m_mutex;
    Clock::time_point m_firstArrival;
    std::atomic<unsigned> m_arrivals{0};
    std::atomic<unsigned> m_lateArrivals{0};
    RawEndpoint m_endpoint;
};

/// Sends `count` requests at once, each on its own connection, and returns the answers.
std::vector<std::string> askAtOnce(const ForwardingHarness &harness, const std::string &target,
                                   std::size_t count)
{
    std::vector<std::string> answers(count);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < count; ++i)
        callers.emplace_back([&, i] {
            answers[i] = ask(harness, target, target.substr(1, 3) + std::to_string(i));
        });
    for (std::thread &caller : callers)
        caller.join();
    return answers;
}

} // namespace

class LeavingEndpoint : public testing::TestWithParam<const char *>
{};

// Guards against requests to an endpoint after it has announced its shutdown in an answer.
TEST_P(LeavingEndpoint, GetsNoRequestAfterAnAnswerThatAnnouncesIt)
{
    const std::string statusLine = GetParam();
    const std::string notExecuted = statusLine.starts_with("503") || statusLine.starts_with("429")
                                            ? "Not-Executed: 1\r\n"
                                            : "";
    const CountingEndpoint leaving(statusLine, LeavingField + notExecuted);
    const CountingEndpoint staying("200 OK", {}, milliseconds(20));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("leaving", "any", leaving.address());
    ask(harness, "/any/x", "first");
    harness.addEndpoint("staying", "any", staying.address());
    ASSERT_EQ(leaving.arrivals(), 1U);
    for (const std::string &answer : askAtOnce(harness, "/any/x", LaterRequests))
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_EQ(leaving.arrivals(), 1U);
    EXPECT_EQ(staying.arrivals(), LaterRequests);
}

INSTANTIATE_TEST_SUITE_P(Answers, LeavingEndpoint,
                         testing::Values("200 OK", "404 Not Found", "429 Too Many Requests",
                                         "500 Internal Server Error", "503 Service Unavailable"));

// Guards against a refusal while the only endpoint still serves, and against requests to it after
// the time in which it has to get none.
TEST(LeavingEndpoints, TheOnlyEndpointServesUntilTheDrainDeadlineAndNotLonger)
{
    const CountingEndpoint leaving("200 OK", LeavingField);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("leaving", "any", leaving.address());
    ask(harness, "/any/x", "first");
    EXPECT_TRUE(ask(harness, "/any/x", "second").starts_with("HTTP/1.1 200 "));
    std::this_thread::sleep_for(ForwarderSettings().drainDeadline);
    EXPECT_TRUE(ask(harness, "/any/x", "third").starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(leaving.arrivals(), 2U);
}

// Guards against callers that all return at the same moment when every endpoint has left.
TEST(LeavingEndpoints, RefusalsAfterTheDrainDeadlineAreImmediateAndSpread)
{
    const CountingEndpoint leaving("200 OK", LeavingField);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("leaving", "any", leaving.address());
    ask(harness, "/any/x", "first");
    std::this_thread::sleep_for(ForwarderSettings().drainDeadline);
    std::set<std::string> times;
    for (int i = 0; i < 20; ++i) {
        const auto sentAt = Clock::now();
        const std::string answer = ask(harness, "/any/x", "later" + std::to_string(i));
        EXPECT_LT(Clock::now() - sentAt, milliseconds(1000));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        times.insert(headerOf(answer, "Retry-After"));
    }
    EXPECT_GT(times.size(), 10U);
    EXPECT_EQ(leaving.arrivals(), 1U);
}

// Guards against requests in a pause to the only endpoint because it leaves as well.
TEST(LeavingEndpoints, TheOnlyEndpointGetsNothingInAPauseThatItAsksFor)
{
    const CountingEndpoint leaving(RefusalLine, std::string(LeavingField)
                                                        + "Not-Executed: 1\r\nRetry-After: 5\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("leaving", "any", leaving.address());
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(ask(harness, "/any/x", "r" + std::to_string(i)).starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(leaving.arrivals(), 1U);
}

// Guards against a mark by an answer to another request, or by another endpoint at the address.
TEST(LeavingEndpoints, AnswersThatAreNotTheEndpointsOwnMarkNothing)
{
    for (const std::string &foreign :
         {std::string("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s1\r\n"
                      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"),
          std::string("no answer\r\nServer-Leaving: 1\r\n\r\n"),
          std::string("HTTP/1.1 500 Internal Server Error\r\nInstance-Id: another\r\n"
                      "Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n")}) {
        RawEndpoint endpoint([&](int socket, const std::string &call, unsigned before) {
            const bool isFirst = before == 0;
            RawEndpoint::write(socket,
                               (isFirst ? foreign : "") + signedAnswer(call, "200 OK", "x"));
        });
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("endpoint", "any", endpoint.address());
        ask(harness, "/any/x", "first");
        bool isMarked = true;
        harness.onLoop([&](ForwardingContext &context) {
            isMarked = context.endpoints.find("endpoint")->availability().isLeaving();
        });
        EXPECT_FALSE(isMarked) << foreign;
        EXPECT_EQ(endpoint.calls(), 1U);
    }
}

// Guards against a stream that is cut because its endpoint leaves, and against a mark that waits
// for the end of the stream.
TEST(LeavingEndpoints, AStreamMarksAtItsHeadAndIsCompleted)
{
    std::promise<void> end;
    const auto mayEnd = end.get_future().share();
    RawEndpoint leaving([&](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
                                           + "\r\nServer-Signature: s1\r\n" + LeavingField
                                           + "Connection: close\r\n\r\nid: 1\ndata: a\n\n");
        mayEnd.wait();
        RawEndpoint::write(socket, "id: 2\ndata: b\n\n");
    });
    const CountingEndpoint staying("200 OK", "Content-Type: text/plain\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("leaving", "stream", leaving.address());
    std::string stream;
    std::thread caller([&] { stream = ask(harness, "/stream/x", "open"); });
    const auto isLeaving = [&] {
        bool leaves = false;
        harness.onLoop([&](ForwardingContext &context) {
            leaves = context.endpoints.find("leaving")->availability().isLeaving();
        });
        return leaves;
    };
    EXPECT_TRUE(waitUntil(isLeaving));
    harness.addEndpoint("staying", "stream", staying.address());
    EXPECT_TRUE(ask(harness, "/stream/x", "later").starts_with("HTTP/1.1 200 "));
    EXPECT_EQ(staying.arrivals(), 1U);
    end.set_value();
    caller.join();
    EXPECT_NE(stream.find("data: b"), std::string::npos) << stream;
    EXPECT_TRUE(stream.ends_with("0\r\n\r\n")) << stream;
    EXPECT_EQ(leaving.calls(), 1U);
}

// Guards against a burst of chosen, connecting and queued requests that reaches an endpoint after
// it has asked for a pause.
TEST(PausedEndpoint, GetsNoneOfManyRequestsUntilThePauseEnds)
{
    PausingEndpoint paused("2");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("paused", "any", paused.address());
    const auto startedAt = Clock::now();
    askAtOnce(harness, "/any/x", 200);
    while (Clock::now() < startedAt + milliseconds(1600))
        ask(harness, "/any/x", "later");
    EXPECT_GT(paused.arrivals(), 0U);
    EXPECT_EQ(paused.lateArrivals(), 0U);
}

// Guards against requests to an endpoint that turns requests away without stating that it didn't
// run them, and against such a refusal being passed on as a promise.
TEST(PausedEndpoint, GetsNothingAfterARefusalThatDoesNotSayWhetherItRan)
{
    const CountingEndpoint paused(RefusalLine, "Retry-After: 5\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("paused", "once", paused.address());
    EXPECT_TRUE(ask(harness, "/once/x", "first").starts_with("HTTP/1.1 502 "));
    for (int i = 0; i < 5; ++i)
        EXPECT_TRUE(ask(harness, "/once/x", "r" + std::to_string(i)).starts_with("HTTP/1.1 503 "));
    EXPECT_EQ(paused.arrivals(), 1U);
}

// Guards against a mark or a pause that a new process at the same id and address inherits.
TEST(LeavingEndpoints, ARestartWithTheSameIdAndAddressIsAvailable)
{
    const CountingEndpoint endpoint(
            RefusalLine, std::string(LeavingField) + "Not-Executed: 1\r\nRetry-After: 60\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("endpoint", "any", endpoint.address());
    ask(harness, "/any/x", "first");
    ask(harness, "/any/x", "second");
    EXPECT_EQ(endpoint.arrivals(), 1U);
    harness.onLoop([&](ForwardingContext &context) {
        Registration restarted = context.endpoints.find("endpoint")->registration();
        restarted.startedAt += milliseconds(1);
        context.directory.put(restarted);
    });
    ask(harness, "/any/x", "third");
    EXPECT_EQ(endpoint.arrivals(), 2U);
}

// Guards against callers that wait for nothing, or all return at the same moment, while every
// endpoint of their route pauses.
TEST(PausedEndpoint, RefusesAtOnceWithTheSpreadTimeOfItsReturn)
{
    PausingEndpoint paused("3");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("paused", "any", paused.address());
    ask(harness, "/any/x", "first");
    std::set<std::string> times;
    for (int i = 0; i < 20; ++i) {
        const auto sentAt = Clock::now();
        const std::string answer = ask(harness, "/any/x", "later" + std::to_string(i));
        EXPECT_LT(Clock::now() - sentAt, milliseconds(1000));
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        EXPECT_TRUE(answer.ends_with("endpoints_paused")) << answer;
        const double seconds = std::stod(headerOf(answer, "Retry-After"));
        EXPECT_GT(seconds, 1);
        EXPECT_LT(seconds, 4);
        times.insert(headerOf(answer, "Retry-After"));
    }
    EXPECT_GT(times.size(), 10U);
    EXPECT_EQ(paused.arrivals(), 1U);
}

// Guards against retries taken from the budget when no other endpoint could take the request.
TEST(PausedEndpoint, SpendsNoRetryBudgetWhenThereIsNoOtherEndpoint)
{
    constexpr unsigned Requests = 30;
    const CountingEndpoint refusing(RefusalLine, "Not-Executed: 1\r\n");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("refusing", "any", refusing.address());
    for (unsigned i = 0; i < Requests; ++i)
        ask(harness, "/any/x", "r" + std::to_string(i));
    EXPECT_EQ(refusing.arrivals(), Requests);
    const auto remainingRetries = [&](const std::string &service) {
        unsigned retries = 0;
        harness.onLoop([&](ForwardingContext &context) {
            while (context.retryBudgets.take(service, Clock::now()))
                ++retries;
        });
        return retries;
    };
    harness.onLoop([&](ForwardingContext &context) {
        for (unsigned i = 0; i < Requests; ++i)
            context.retryBudgets.requestStarted("unused", Clock::now());
    });
    EXPECT_EQ(remainingRetries("any"), remainingRetries("unused"));
}

// Guards against a burst of all waiting callers at the end of a pause.
TEST(PausedEndpoint, GetsItsRequestsBackInSteps)
{
    std::atomic<int> arrivals{0};
    std::promise<void> end;
    const auto mayEnd = end.get_future().share();
    RawEndpoint endpoint([&](int socket, const std::string &call, unsigned before) {
        if (before == 0) {
            RawEndpoint::write(socket, signedAnswer(call, RefusalLine, "",
                                                    "Not-Executed: 1\r\nRetry-After: 0.3\r\n"));
            return;
        }
        ++arrivals;
        mayEnd.wait();
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "x"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("paused", "any", endpoint.address());
    ask(harness, "/any/x", "first");
    std::this_thread::sleep_for(milliseconds(310));
    std::vector<std::string> answers;
    std::thread callers([&] { answers = askAtOnce(harness, "/any/x", 100); });
    std::this_thread::sleep_for(milliseconds(150));
    const int first = arrivals;
    std::this_thread::sleep_for(EndpointAvailability::ResumeTime);
    std::vector<std::string> later;
    std::thread laterCallers([&] { later = askAtOnce(harness, "/any/y", 50); });
    EXPECT_TRUE(waitUntil([&] { return arrivals >= 50; }));
    end.set_value();
    callers.join();
    laterCallers.join();
    EXPECT_GE(first, 1);
    EXPECT_LE(first, 16);
    for (const std::string &answer : later)
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

// Guards against an endpoint that has just started and is taken for one known for long.
TEST(StartingEndpoint, IsPacedFromItsFirstSightWhileOthersAreNot)
{
    const CountingEndpoint endpoint("200 OK");
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("old", "any", endpoint.address());
    harness.onLoop([&](ForwardingContext &context) {
        Registration started = context.endpoints.find("old")->registration();
        started.id = "new";
        started.startedAt = std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
        context.directory.put(started);
        const auto stateOf = [&](const char *id) {
            return nameOf(context.endpoints.find(id)->availability().stateAt(bootTime()));
        };
        EXPECT_STREQ(stateOf("new"), "resuming");
        EXPECT_STREQ(stateOf("old"), "available");
    });
    EXPECT_TRUE(ask(harness, "/any/x", "first").starts_with("HTTP/1.1 200 "));
}

} // namespace almondmill::test
