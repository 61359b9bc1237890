// Guards against answers that are lost on the way to the caller although the endpoint would have
// given them, and against connections that close without a word.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/kernel/steadynow.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr const char *StreamEnd = "\r\n0\r\n\r\n";

/// Longer than the pause after which another endpoint is looked for.
constexpr milliseconds Silence{900};

/// Says that the connection closes, because RawEndpoint closes it after each answer.
std::string streamHead(const std::string &call)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\n"
             "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string eventChunk(int id)
{
    return "12\r\nid: " + std::to_string(id) + "\ndata: part\n\n\r\n";
}

constexpr const char *LastChunk = "0\r\n\r\n";

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

std::string ask(const ForwardingHarness &harness, const std::string &target)
{
    return sendRequest(harness, requestText("POST", target, {}, "body"));
}

/// Sends one event, is silent for `Silence`, and completes the stream.
void streamWithSilence(int socket, const std::string &call, unsigned)
{
    RawEndpoint::write(socket, streamHead(call) + eventChunk(1));
    std::this_thread::sleep_for(Silence);
    RawEndpoint::write(socket, eventChunk(2) + LastChunk);
}

void exhaustRetryBudget(ForwardingHarness &harness, const std::string &service)
{
    harness.onLoop([&](ForwardingContext &context) {
        while (context.retryBudgets.take(service, steadyNow()))
            continue;
    });
}

constexpr const char *SharedPart =
        "Model: m\r\nToken-Usage: 415,5\r\nPrompt-Prefix: a1:10,b2:400,c3:5\r\n";

/// Makes the router one of so many that they ask each other for the locations of parts. Its
/// datagrams can't be sent, except for the first `sent` ones.
void breakLookups(ForwardingHarness &harness, unsigned sent = 0)
{
    constexpr unsigned Routers = 200;
    harness.onLoop([=](ForwardingContext &context) {
        context.partLookups.start("router-1",
                                  [left = sent](const std::string &, std::string_view) mutable {
                                      if (left == 0)
                                          throw std::runtime_error("no memory");
                                      --left;
                                  });
        for (unsigned router = 2; router <= Routers; ++router)
            context.partLookups.addRouter("router-" + std::to_string(router));
    });
}

void expectCompleteStream(const std::string &answer, std::size_t events)
{
    EXPECT_TRUE(answer.ends_with(StreamEnd)) << answer;
    EXPECT_EQ(eventCount(answer), events) << answer;
}

} // namespace

// Guards against a cut stream when its endpoint is silent for a while and no other one is left.
TEST(LostAnswers, ASilentStreamIsCompletedWhenThereIsNoOtherEndpoint)
{
    const RawEndpoint endpoint(streamWithSilence);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", endpoint.address());
    expectCompleteStream(ask(harness, "/resume/x"), 2);
    EXPECT_EQ(endpoint.calls(), 1U);
}

// Guards against a cut stream when its endpoint is silent for a while and no retry is allowed.
TEST(LostAnswers, ASilentStreamIsCompletedWhenTheRetryBudgetIsExhausted)
{
    const RawEndpoint first(streamWithSilence);
    const RawEndpoint second(streamWithSilence);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", first.address());
    harness.addEndpoint("e2", "resume", second.address());
    exhaustRetryBudget(harness, "resume");
    expectCompleteStream(ask(harness, "/resume/x"), 2);
    EXPECT_EQ(first.calls() + second.calls(), 1U);
}

// Guards against a 502 for a request whose endpoint answers late, when no other endpoint is left.
TEST(LostAnswers, ALateAnswerIsDeliveredWhenThereIsNoOtherEndpoint)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        std::this_thread::sleep_for(Silence);
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "late", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", endpoint.address());
    const std::string answer = ask(harness, "/any/x");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_TRUE(answer.ends_with("late")) << answer;
    EXPECT_EQ(endpoint.calls(), 1U);
}

// Guards against a cut stream when the endpoint that was to continue it is full at first.
TEST(LostAnswers, AStreamWhoseNextEndpointIsFullGoesOnThereLater)
{
    std::atomic<int> calls{0};
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        const int before = calls++;
        if (before == 0)
            RawEndpoint::write(socket, streamHead(call) + eventChunk(1));
        else if (before == 1)
            RawEndpoint::write(socket, signedAnswer(call, "503 Service Unavailable", "full",
                                                    "Not-Executed: 1\r\nConnection: close\r\n"));
        else
            RawEndpoint::write(socket, streamHead(call) + eventChunk(2) + LastChunk);
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", first.address());
    harness.addEndpoint("e2", "resume", second.address());
    expectCompleteStream(ask(harness, "/resume/x"), 2);
    EXPECT_EQ(calls, 3);
}

// Guards against a stream that waits for its silent endpoint although another one has come.
TEST(LostAnswers, ASilentStreamIsResumedAtAnEndpointThatComesLater)
{
    const RawEndpoint silent([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call) + eventChunk(1));
        RawEndpoint::waitForClose(socket);
    });
    const RawEndpoint sound([](int socket, const std::string &call, unsigned) {
        EXPECT_EQ(headerOf(call, "Last-Event-Id"), "1");
        RawEndpoint::write(socket, streamHead(call) + eventChunk(2) + LastChunk);
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", silent.address());
    std::string answer;
    std::thread caller([&] { answer = ask(harness, "/resume/x"); });
    std::this_thread::sleep_for(Silence);
    harness.addEndpoint("e2", "resume", sound.address());
    caller.join();
    expectCompleteStream(answer, 2);
}

// Guards against a caller that gets nothing when serving its request ends with an exception.
TEST(LostAnswers, ARequestThatFailsInsideTheRouterIsAnswered)
{
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", "127.0.0.1:9", 1);
    breakLookups(harness);
    const std::string answer = sendRequest(harness, requestText("POST", "/resume/x", SharedPart));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_EQ(headerOf(answer, "Request-Id"), "r1");
}

// Guards against a body after the head of an answer to HEAD, which the caller takes for the next
// answer, when serving the request ends with an exception.
TEST(LostAnswers, AHeadRequestThatFailsInsideTheRouterLeavesTheConnectionInOrder)
{
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", "127.0.0.1:9", 1);
    breakLookups(harness);
    const RawCaller caller(harness.url());
    caller.send(std::string("HEAD /resume/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                            "Authorization: Bearer k1\r\n")
                + SharedPart + "\r\n" + requestText("GET", "/nowhere"));
    const std::string answers = caller.readToEnd();
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 502 ")) << answers;
    const auto second = answers.find("\r\n\r\n") + 4;
    EXPECT_TRUE(answers.substr(second).starts_with("HTTP/1.1 404 ")) << answers;
}

// Guards against an endpoint that seems busy forever after a request to it ended with an exception.
TEST(LostAnswers, ARequestThatFailsInsideTheRouterIsNoLongerCountedAtItsEndpoint)
{
    const RawEndpoint endpoint([](int, const std::string &, unsigned) {});
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", endpoint.address(), 1);
    breakLookups(harness, 1); // The lookup is sent, the report of the placement isn't.
    const std::string answer = sendRequest(harness, requestText("POST", "/resume/x", SharedPart));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_TRUE(answer.ends_with("internal_error")) << answer;
    harness.onLoop([](ForwardingContext &context) {
        const EndpointLoad load = context.endpoints.find("e1")->load();
        EXPECT_EQ(load.openRequests, 0);
        EXPECT_EQ(load.heldTokens, 0);
        EXPECT_EQ(load.pendingPrefillTokens, 0);
    });
}

// Guards against an entry of a lookup that outlives it when its question can't be sent; the reply
// to a later lookup with the same number would use it.
TEST(LostAnswers, ALookupThatCannotBeSentLeavesNothingBehind)
{
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "resume", "127.0.0.1:9", 1);
    breakLookups(harness);
    sendRequest(harness, requestText("POST", "/resume/x", SharedPart));
    harness.onLoop(
            [](ForwardingContext &context) { EXPECT_EQ(context.partLookups.pending(), 0U); });
}

// Guards against the loss of a refusal that is sent while the request's body is still arriving.
TEST(LostAnswers, ARefusalWhileTheBodyArrivesReachesTheCaller)
{
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    const RawCaller caller(harness.url());
    caller.send("POST /any/x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n"
                + std::string(200000, 'b'));
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_TRUE(caller.readToEnd().starts_with("HTTP/1.1 413 "));
    EXPECT_FALSE(caller.wasReset());
}

// Guards against closing an idle connection by a limit that the configuration has raised meanwhile.
TEST(LostAnswers, ARaisedIdleTimeoutHoldsForConnectionsThatAreIdleAlready)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    RoutingConfiguration configuration = withShortLimits();
    configuration.bounds.idleTimeout = milliseconds(300);
    harness.configure(configuration);
    harness.addEndpoint("e1", "any", endpoint.address());
    const RawCaller caller(harness.url());
    std::this_thread::sleep_for(milliseconds(100));
    configuration.bounds.idleTimeout = milliseconds(3000);
    harness.configure(configuration);
    std::this_thread::sleep_for(milliseconds(600));
    caller.send(requestText("POST", "/any/x", {}, "body"));
    const std::string answer = caller.readToEnd();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

// Guards against closing a connection, when a planned stop begins, after an answer that had
// promised to keep it open, although the caller's next request has arrived.
TEST(LostAnswers, AConnectionThatWasPromisedToStayOpenServesTheNextRequestOfAPlannedStop)
{
    std::atomic<bool> isDraining{false};
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned before) {
        RawEndpoint::write(socket, streamHead(call) + eventChunk(1));
        while (before == 0 && !isDraining)
            std::this_thread::sleep_for(milliseconds(5));
        RawEndpoint::write(socket, LastChunk);
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "stream", endpoint.address());
    const RawCaller caller(harness.url());
    const std::string call = "POST /stream/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                             "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
    caller.send(call);
    std::this_thread::sleep_for(milliseconds(100));
    harness.beginDraining();
    caller.send(call);
    std::this_thread::sleep_for(milliseconds(50));
    isDraining = true;
    const std::string answers = caller.readToEnd();
    EXPECT_EQ(eventCount(answers), 2U) << answers;
    EXPECT_TRUE(answers.ends_with(StreamEnd)) << answers;
}

// Guards against a reset that destroys the rest of a long answer, when the connection is closed
// while a request that the caller has sent early is unread.
TEST(LostAnswers, AnAnswerOfAPlannedStopIsNotDestroyedByAnUnreadRequest)
{
    const std::string body(1500000, 'b');
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        std::this_thread::sleep_for(milliseconds(150));
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", body, "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(withShortLimits());
    harness.addEndpoint("e1", "any", endpoint.address());
    harness.beginDraining();
    const RawCaller caller(harness.url());
    const std::string call = "POST /any/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
                             "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
    caller.send(call);
    std::this_thread::sleep_for(milliseconds(50));
    caller.send(call);
    std::this_thread::sleep_for(milliseconds(500));
    const std::string answer = caller.readToEnd();
    EXPECT_TRUE(answer.ends_with(body)) << answer.size();
    EXPECT_FALSE(caller.wasReset());
    EXPECT_EQ(endpoint.calls(), 1U);
}

/// A connection that was opened before a planned stop and has an endpoint for each kind of request.
class LateRequestOfAPlannedStop : public testing::Test
{
protected:
    LateRequestOfAPlannedStop()
    {
        m_harness.configure(withShortLimits());
        for (const char *route : {"once", "any", "stream", "resume"})
            m_harness.addEndpoint(route, route, m_endpoint.address());
        m_caller = std::make_unique<RawCaller>(m_harness.url());
    }

    /// Sends a request `ago` after a planned stop with 8 s of grace has begun.
    std::string askAfter(milliseconds ago, const std::string &route, const std::string &headers)
    {
        m_harness.beginDraining(ago);
        m_caller->send(requestText("POST", "/" + route + "/x", headers, "body"));
        return m_caller->readToEnd();
    }

    unsigned calls() const { return m_endpoint.calls(); }

private:
    const RawEndpoint m_endpoint{[](int socket, const std::string &call, unsigned) {
        const std::string type = "Content-Type: text/plain\r\nConnection: close\r\n";
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", type));
    }};
    ForwardingHarness m_harness;
    std::unique_ptr<RawCaller> m_caller;
};

// Guards against a request that is passed on so late in a planned stop that the end of the process
// cuts it.
TEST_F(LateRequestOfAPlannedStop, IsRefusedWhenItMightNotBeFinished)
{
    const std::string answer = askAfter(milliseconds(6000), "once", {});
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_FALSE(headerOf(answer, "Retry-After").empty()) << answer;
    EXPECT_EQ(headerOf(answer, "Connection"), "close");
    EXPECT_EQ(calls(), 0U);
}

// Guards against a refusal of a request whose deadline comes before the end of the process.
TEST_F(LateRequestOfAPlannedStop, IsServedWhenItEndsBeforeTheProcess)
{
    const std::string answer = askAfter(milliseconds(6000), "stream", "Deadline-Ms: 1000\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

// Guards against a request that was taken before the last arrivals and whose endpoint is silent: it
// got no answer before the end of the process cut it.
TEST(LostAnswers, ARequestOfAPlannedStopIsAnsweredBeforeTheProcessEnds)
{
    constexpr milliseconds Ago{2900};
    const RawEndpoint silent(
            [](int socket, const std::string &, unsigned) { RawEndpoint::waitForClose(socket); });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", silent.address());
    harness.beginDraining(Ago);
    const auto sentAt = std::chrono::steady_clock::now();
    const std::string answer = sendRequest(harness, requestText("POST", "/once/x"));
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 504 ")) << answer;
    EXPECT_LT(std::chrono::steady_clock::now() - sentAt,
              ForwarderSettings().shutdownGrace - Ago + milliseconds(500));
}

// Guards against refusals at the beginning of a planned stop, while the load balancer still sends
// callers to the router.
TEST_F(LateRequestOfAPlannedStop, IsServedWhileCallersStillCome)
{
    const std::string answer = askAfter(milliseconds(2500), "resume", "Deadline-Ms: 20000\r\n");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

} // namespace almondmill::test
