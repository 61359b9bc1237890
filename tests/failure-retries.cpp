// Guards the retry budget against requests that only wait and against endpoints that are full.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Routes as in `oneRouteOfEachKind`, with short limits for silent endpoints.
RoutingConfiguration withShortLimits()
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    for (Route &route : configuration.routes) {
        route.targetEventGap = milliseconds(100);
        route.targetLatency = milliseconds(100);
        route.timeout = milliseconds(4000);
    }
    return configuration;
}

std::string ask(const ForwardingHarness &harness, const std::string &target,
                const std::string &moreHeaders = {})
{
    return sendRequest(harness, requestText("POST", target, moreHeaders, "body"));
}

std::string fullAnswer(const std::string &call)
{
    return signedAnswer(call, "503 Service Unavailable", "full",
                        "Not-Executed: 1\r\nConnection: close\r\n");
}

std::string streamHeadAndEvent(const std::string &call)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: part\n\n\r\n";
}

/// Requests that are sent at once, each on its own connection and thread.
class Callers
{
public:
    Callers(const ForwardingHarness &harness, const std::string &target, int count)
    {
        for (int index = 0; index < count; ++index)
            m_threads.emplace_back([&harness, target] { ask(harness, target); });
    }

    ~Callers()
    {
        for (std::thread &thread : m_threads)
            thread.join();
    }

    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

private:
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against a 502 for a request whose connection broke because requests that merely wait at a
// silent endpoint have used the retry budget up.
TEST(Retries, WaitingRequestsLeaveBudgetForBrokenConnections)
{
    constexpr int Waiting = 40;
    constexpr int Requests = 20;
    constexpr int SoundPerRequest = 20;
    std::mutex mutex;
    std::set<std::string> broken;
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        const std::string own = headerOf(call, "X-Own");
        if (own.empty()) {
            RawEndpoint::waitForClose(socket);
            return;
        }
        const std::lock_guard lock(mutex);
        if (broken.insert(own).second) // The first attempt of each request.
            RawEndpoint::resetOnClose(socket);
        else
            RawEndpoint::write(socket, signedAnswer(call, "200 OK", "x", "Connection: close\r\n"));
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", first.address());
    harness.addEndpoint("e2", "any", second.address());
    const Callers waiting(harness, "/any/x", Waiting);
    std::this_thread::sleep_for(milliseconds(600));
    int served = 0;
    for (int index = 0; index < Requests; ++index) {
        harness.onLoop([](ForwardingContext &context) {
            for (int sound = 0; sound < SoundPerRequest; ++sound)
                context.retryBudgets.requestStarted("any", steadyNow());
        });
        std::this_thread::sleep_for(milliseconds(110));
        const std::string own = "X-Own: " + std::to_string(index) + "\r\n";
        served += ask(harness, "/any/x", own).starts_with("HTTP/1.1 200 ") ? 1 : 0;
    }
    EXPECT_EQ(served, Requests);
}

// Guards against processor time for requests that wait at a silent endpoint: no endpoint is chosen
// for them while no retry is allowed.
TEST(Retries, NoEndpointIsChosenForWaitingRequestsWithoutBudget)
{
    constexpr int Waiting = 20;
    const RawEndpoint silent(
            [](int socket, const std::string &, unsigned) { RawEndpoint::waitForClose(socket); });
    ForwardingHarness harness;
    RoutingConfiguration configuration = withShortLimits();
    for (Route &route : configuration.routes)
        route.timeout = milliseconds(1500);
    harness.configure(configuration);
    harness.addEndpoint("silent", "any", silent.address());
    harness.addEndpoint("paused", "any", silent.address());
    // Each choice counts the endpoints that it leaves out because of their pause.
    const auto withheld = [&] {
        std::uint64_t count = 0;
        harness.onLoop([&](ForwardingContext &context) {
            for (const auto &view : context.endpoints.ofService("any"))
                count += view->availability().withheld();
        });
        return count;
    };
    harness.onLoop([](ForwardingContext &context) {
        while (context.retryBudgets.take("any", steadyNow()))
            continue;
        for (const auto &view : context.endpoints.ofService("any")) {
            if (view->id() == "paused")
                view->availability().recordPause(seconds(60), ClockTimes::now().boot);
        }
    });
    const Callers waiting(harness, "/any/x", Waiting);
    std::this_thread::sleep_for(milliseconds(150)); // Before the limit for silent endpoints.
    const std::uint64_t before = withheld();
    EXPECT_EQ(before, std::uint64_t(Waiting));
    harness.onLoop([](ForwardingContext &context) {
        while (context.retryBudgets.take("any", steadyNow()))
            continue;
    });
    std::this_thread::sleep_for(milliseconds(1000));
    EXPECT_EQ(withheld(), before);
}

// Guards against one broken stream that uses the retry budget of its service up at full endpoints.
TEST(Retries, ABrokenStreamThatFindsOnlyFullEndpointsLeavesBudget)
{
    constexpr int Full = 30;
    const RawEndpoint breaking([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHeadAndEvent(call));
        std::this_thread::sleep_for(milliseconds(250));
        RawEndpoint::resetOnClose(socket);
    });
    const RawEndpoint full([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, fullAnswer(call));
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e0", "resume", breaking.address());
    const Callers stream(harness, "/resume/x", 1);
    std::this_thread::sleep_for(milliseconds(100));
    for (int index = 1; index <= Full; ++index)
        harness.addEndpoint("e" + std::to_string(index), "resume", full.address());
    std::this_thread::sleep_for(milliseconds(400));
    EXPECT_GE(full.calls(), 1U);
    bool isLeft = false;
    harness.onLoop([&](ForwardingContext &context) {
        isLeft = context.retryBudgets.take("resume", steadyNow());
    });
    EXPECT_TRUE(isLeft) << full.calls() << " arrivals at full endpoints";
}

// Guards against a 502 for a request whose endpoint answers late, when the endpoint that was chosen
// to replace it can't be reached.
TEST(Retries, ALateAnswerIsDeliveredWhenTheReplacementIsGone)
{
    const RawEndpoint slow([](int socket, const std::string &call, unsigned) {
        std::this_thread::sleep_for(milliseconds(900));
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "late", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", slow.address());
    std::string answer;
    std::thread caller([&] { answer = ask(harness, "/any/x"); });
    std::this_thread::sleep_for(milliseconds(100));
    harness.addEndpoint("e2", "any", "127.0.0.1:9");
    caller.join();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_EQ(slow.calls(), 1U);
}

// Guards against a 502 for a request that left its silent endpoint for one that is full at first.
TEST(Retries, ARequestWhoseReplacementIsFullIsTakenLater)
{
    std::atomic<int> calls{0};
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        const int before = calls++;
        if (before == 0)
            RawEndpoint::waitForClose(socket);
        else if (before <= 2)
            RawEndpoint::write(socket, fullAnswer(call));
        else
            RawEndpoint::write(socket, signedAnswer(call, "200 OK", "x", "Connection: close\r\n"));
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", first.address());
    harness.addEndpoint("e2", "any", second.address());
    const std::string answer = ask(harness, "/any/x");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_EQ(calls, 4);
}

// Guards against holding a request until its deadline when no endpoint is left that could take it.
TEST(Retries, ARequestThatNoEndpointCanTakeAnyMoreIsAnsweredAtOnce)
{
    std::atomic<int> calls{0};
    ForwardingHarness *router = nullptr;
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        if (calls++ == 0) {
            RawEndpoint::waitForClose(socket);
            return;
        }
        router->onLoop([](ForwardingContext &context) {
            context.directory.remove("e1", 0);
            context.directory.remove("e2", 0);
        });
        RawEndpoint::write(socket, fullAnswer(call));
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    router = &harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", first.address());
    harness.addEndpoint("e2", "any", second.address());
    const SteadyTime start = steadyNow();
    const std::string answer = ask(harness, "/any/x");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_LT(steadyNow() - start, milliseconds(2000));
}

// Guards against two endpoints that work on one stream: the connection to the silent one is closed
// before the stream goes on elsewhere.
TEST(Retries, ASilentEndpointIsLeftBeforeTheStreamGoesOnElsewhere)
{
    std::atomic<int> calls{0};
    std::promise<void> left;
    std::future_status wasLeft = std::future_status::timeout;
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        if (calls++ == 0) {
            RawEndpoint::write(socket, streamHeadAndEvent(call));
            RawEndpoint::waitForClose(socket);
            left.set_value();
            return;
        }
        wasLeft = left.get_future().wait_for(milliseconds(400));
        RawEndpoint::write(socket, streamHeadAndEvent(call) + "0\r\n\r\n");
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", first.address());
    harness.addEndpoint("e2", "resume", second.address());
    const std::string answer = ask(harness, "/resume/x");
    EXPECT_TRUE(answer.ends_with("\r\n0\r\n\r\n")) << answer;
    EXPECT_EQ(wasLeft, std::future_status::ready);
    EXPECT_EQ(calls, 2);
}

} // namespace almondmill::test
