// Guards the request path of the forwarding router: what callers and endpoints receive when
// endpoints fail, close connections early or send invalid answers.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/waituntil.h"

#include "almondmill/forward/endpointview.h"

#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>

namespace almondmill::test {

namespace {

/// Answers each call with "Connection: close", because RawEndpoint closes the connection after it.
RawEndpoint::Behaviour answering(const std::string &statusLine, const std::string &body,
                                 const std::string &headers = {})
{
    return [=](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket,
                           signedAnswer(call, statusLine, body, headers + "Connection: close\r\n"));
    };
}

std::string streamHead(const std::string &call, const std::string &headers = {})
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\n" + headers
           + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string &bytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx", bytes.size());
    return std::string(size.data()) + "\r\n" + bytes + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

constexpr const char *LastChunk = "0\r\n\r\n";
constexpr const char *PromptHeaders =
        "Model: m\r\nToken-Usage: 30,5\r\nPrompt-Prefix: a1:10,b2:15,c3:5\r\n";

bool startsWithStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

TEST(Forwarding, PassesMethodTargetAndBodyOnUnchanged)
{
    std::string received;
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        received = call;
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const auto answer = sendRequest(harness, requestText("POST", "/once/a%2Fb//c?x=1&y=%20",
                                                         "X-Other: kept\r\n", "a body\r\n\r\n."));
    EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\ndone"));
    EXPECT_EQ(headerOf(answer, "Server-Signature"), "s1");
    EXPECT_TRUE(received.starts_with("POST /once/a%2Fb//c?x=1&y=%20 HTTP/1.1\r\n")) << received;
    EXPECT_TRUE(received.ends_with("\r\n\r\na body\r\n\r\n."));
    EXPECT_EQ(headerOf(received, "X-Other"), "kept");
    EXPECT_EQ(headerOf(received, "Expect-Instance"), "e1");
    EXPECT_EQ(headerOf(received, "Tenant"), "open");
    EXPECT_FALSE(headerOf(received, "Deadline-Ms").empty());
}

TEST(Forwarding, CallersCannotSetWhatOnlyTheRouterSets)
{
    std::string received;
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        received = call;
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", ""));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    sendRequest(harness, requestText("POST", "/once/x",
                                     "Hold: h\r\nPin-Ms: 1\r\nKv-Backup: a\r\nKv-From: b\r\n"
                                     "Kv-Fetch-From: c\r\nKv-Save-To: d\r\nCache-Salt: s\r\n"
                                     "Tenant: other\r\nExpect-Instance: x\r\nExpect-Version: 9\r\n"
                                     "Request-Priority: 0\r\nTE: trailers\r\nX-Hop: 1\r\n"
                                     "Connection: X-Hop\r\n"));
    for (const char *name :
         {"Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch-From", "Kv-Save-To", "Cache-Salt",
          "Expect-Version", "Request-Priority", "Authorization", "TE", "X-Hop"})
        EXPECT_EQ(headerOf(received, name), "") << name;
    EXPECT_EQ(headerOf(received, "Tenant"), "open");
    EXPECT_EQ(headerOf(received, "Expect-Instance"), "e1");
}

TEST(Forwarding, PromptsCarryWeightsVersionAndCacheScope)
{
    std::string received;
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        received = call;
        RawEndpoint::write(socket,
                           streamHead(call, "Connection: close\r\n") + chunk(event(1)) + LastChunk);
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "stream", endpoint.address(), 7);
    sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders));
    const std::string openScope = headerOf(received, "Cache-Salt");
    EXPECT_EQ(headerOf(received, "Expect-Version"), "7");
    EXPECT_EQ(headerOf(received, "Request-Priority"), "3");
    EXPECT_EQ(headerOf(received, "Prompt-Prefix"), "a1:10,b2:15,c3:5");
    sendRequest(harness, requestText("POST", "/stream/x",
                                     std::string("Authorization: Bearer k2\r\n") + PromptHeaders));
    EXPECT_NE(headerOf(received, "Cache-Salt"), openScope);
    EXPECT_EQ(headerOf(received, "Request-Priority"), "1");
}

// Guards against accounts that go on using what another one made before it was isolated.
TEST(Forwarding, AnAccountThatBecomesIsolatedSharesNothingThatItMadeBefore)
{
    std::string received;
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        received = call;
        RawEndpoint::write(socket,
                           streamHead(call, "Connection: close\r\n") + chunk(event(1)) + LastChunk);
    });
    ForwardingHarness harness;
    RoutingConfiguration configuration = oneRouteOfEachKind();
    configuration.accounts.push_back({"third", {"k3"}, std::nullopt, false});
    const auto scopeOf = [&](const std::string &key) {
        sendRequest(harness, requestText("POST", "/stream/x",
                                         "Authorization: Bearer " + key + "\r\n" + PromptHeaders));
        return headerOf(received, "Cache-Salt");
    };
    harness.configure(configuration);
    harness.addEndpoint("e1", "stream", endpoint.address(), 7);
    const std::string before = scopeOf("k1");
    EXPECT_EQ(scopeOf("k3"), before);
    ++configuration.version;
    configuration.accounts.back().isolated = true;
    harness.configure(configuration);
    EXPECT_NE(scopeOf("k1"), before);
    EXPECT_NE(scopeOf("k3"), before);
    EXPECT_NE(scopeOf("k3"), scopeOf("k1"));
}

TEST(Forwarding, RefusesWithoutConfigurationRouteOrKey)
{
    ForwardingHarness harness;
    const auto before = sendRequest(harness, requestText("GET", "/any/x"));
    EXPECT_TRUE(startsWithStatus(before, 503)) << before;
    EXPECT_FALSE(headerOf(before, "Retry-After").empty());
    harness.configure(oneRouteOfEachKind());
    EXPECT_TRUE(startsWithStatus(sendRequest(harness, requestText("GET", "/none/x")), 404));
    EXPECT_TRUE(startsWithStatus(
            sendRequest(harness, requestText("GET", "/any/x", "Authorization: Bearer no\r\n")),
            401));
    EXPECT_TRUE(startsWithStatus(sendRequest(harness, requestText("GET", "/any/x")), 503));
}

TEST(Forwarding, ARequestWithContentLengthAndChunkedEncodingIsRejected)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    const auto answer = sendRequest(
            harness, "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /any/ HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(startsWithStatus(answer, 400)) << answer;
}

TEST(Forwarding, ANonRetryableCallIsSentOnceWhenItsAnswerIsLost)
{
    const auto lose = [](int socket, const std::string &, unsigned) {
        RawEndpoint::resetOnClose(socket);
    };
    const RawEndpoint first(lose);
    const RawEndpoint second(lose);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", first.address());
    harness.addEndpoint("e2", "once", second.address());
    const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(startsWithStatus(answer, 502)) << answer;
    EXPECT_EQ(headerOf(answer, "Server-Signature"), "");
    EXPECT_EQ(first.calls() + second.calls(), 1U);
}

TEST(Forwarding, OnlyAnAnswerMarkedNotExecutedBecomesARefusal)
{
    const RawEndpoint full(answering("503 Service Unavailable", "", "Not-Executed: 1\r\n"));
    const RawEndpoint failing(answering("503 Service Unavailable", ""));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", full.address());
    const auto refused = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(startsWithStatus(refused, 503)) << refused;
    EXPECT_FALSE(headerOf(refused, "Retry-After").empty());
    harness.addEndpoint("e2", "stream", failing.address(), 1);
    const auto failed = sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders));
    EXPECT_TRUE(startsWithStatus(failed, 502)) << failed;
}

TEST(Forwarding, RetryableCallsAreSentToAnotherEndpointAfterAFailure)
{
    const RawEndpoint failing(answering("500 Internal Server Error", "no"));
    const RawEndpoint healthy(answering("200 OK", "yes"));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "any", failing.address());
    harness.addEndpoint("e2", "any", healthy.address());
    for (int call = 0; call < 3; ++call) {
        const auto answer = sendRequest(harness, requestText("GET", "/any/x"));
        EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    }
}

// The event loop is held for longer than the caller waits, between any two of its steps: a
// connection to the endpoint is established only after the deadline.
TEST(Forwarding, ARequestIsNotSentWhenItsDeadlinePassesDuringAPause)
{
    constexpr std::chrono::milliseconds Pause{150};
    std::atomic<unsigned> requests{0};
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned before) {
        if (call.empty())
            return; // The connection was closed unused.
        ++requests;
        answering("200 OK", "done")(socket, call, before);
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    std::atomic<bool> isDone{false};
    std::function<void()> hold;
    harness.onLoop([&](ForwardingContext &context) {
        hold = [&] {
            std::this_thread::sleep_for(Pause);
            if (!isDone)
                boost::asio::post(context.loop, hold);
        };
        boost::asio::post(context.loop, hold);
    });
    const auto answer =
            sendRequest(harness, requestText("POST", "/once/x", "Deadline-Ms: 100\r\n", "body"));
    isDone = true;
    harness.onLoop([](ForwardingContext &) {}); // Waits until the loop is no longer held.
    EXPECT_EQ(requests, 0U);
    EXPECT_TRUE(startsWithStatus(answer, 503)) << answer;
}

TEST(Forwarding, AnErrorAnswerIsRelayedWithStatusAndSignature)
{
    const RawEndpoint endpoint(answering("500 Internal Server Error", "broken"));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(startsWithStatus(answer, 500)) << answer;
    EXPECT_EQ(headerOf(answer, "Server-Signature"), "s1");
    EXPECT_TRUE(answer.ends_with("broken"));
}

TEST(Forwarding, ASuccessRequiresSignatureCompleteBodyAndNoContentEncoding)
{
    const std::vector<std::string> answers{
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno",
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\nContent-Length: "
            "9\r\n\r\nno",
            "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n"
            "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno",
            "these are no bytes of HTTP\r\n\r\n"};
    for (const std::string &text : answers) {
        const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
            RawEndpoint::write(socket, text);
        });
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", endpoint.address());
        const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
        EXPECT_TRUE(startsWithStatus(answer, 502)) << text << "\n->\n" << answer;
    }
}

TEST(Forwarding, AnAnswerWithoutLengthEndsWithItsConnection)
{
    const RawEndpoint endpoint([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket,
                           "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: s\r\n\r\n"
                           "whole");
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nwhole"));
}

TEST(Forwarding, AnAnswerToAnotherRequestIsDropped)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Signature: s\r\n"
                                   "Content-Length: 5\r\n\r\nwrong"
                                           + signedAnswer(call, "200 OK", "right"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nright"));
}

TEST(Forwarding, AMisdirectedRequestIsSentToAnotherEndpoint)
{
    const RawEndpoint other(answering("421 Misdirected Request", "", "Instance-Id: e9\r\n"));
    const RawEndpoint healthy(answering("200 OK", "yes"));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", other.address());
    harness.addEndpoint("e2", "once", healthy.address());
    for (int call = 0; call < 3; ++call) {
        const auto answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
        EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    }
}

TEST(Forwarding, AStreamIsRelayedCompletely)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call) + chunk(event(1) + event(2).substr(0, 5)));
        RawEndpoint::write(socket, chunk(event(2).substr(5)) + LastChunk);
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "stream", endpoint.address(), 1);
    const auto answer = sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders));
    EXPECT_TRUE(startsWithStatus(answer, 200)) << answer;
    EXPECT_EQ(headerOf(answer, "Server-Signature"), "s1");
    EXPECT_NE(answer.find(event(1)), std::string::npos);
    EXPECT_NE(answer.find(event(2)), std::string::npos);
    EXPECT_TRUE(answer.ends_with(LastChunk));
}

TEST(Forwarding, ATruncatedStreamDoesNotEndWithTheLastChunk)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call) + chunk(event(1) + "id: 2\nda"));
        RawEndpoint::resetOnClose(socket);
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "stream", endpoint.address(), 1);
    const auto answer = sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders));
    EXPECT_FALSE(answer.ends_with(LastChunk)) << answer;
    EXPECT_EQ(answer.find("id: 2"), std::string::npos);
}

TEST(Forwarding, AResumableStreamIsResumedAtAnotherEndpointWithinOneAnswer)
{
    std::string resumed;
    const auto behave = [&](int socket, const std::string &call, unsigned) {
        const std::string after = headerOf(call, "Last-Event-Id");
        if (after.empty()) {
            RawEndpoint::write(socket, streamHead(call) + chunk(event(1) + event(2) + "id: 3\nda"));
            return;
        }
        resumed = after;
        RawEndpoint::write(socket, streamHead(call) + chunk(event(3)) + LastChunk);
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", first.address(), 1);
    harness.addEndpoint("e2", "resume", second.address(), 1);
    const auto answer = sendRequest(harness, requestText("POST", "/resume/x", PromptHeaders));
    EXPECT_EQ(resumed, "2");
    EXPECT_EQ(eventCount(answer), 3U) << answer;
    EXPECT_TRUE(answer.ends_with(LastChunk));
    EXPECT_EQ(first.calls(), 1U);
    EXPECT_EQ(second.calls(), 1U);
}

TEST(Forwarding, ADisconnectingCallerCancelsItsRequestAtTheEndpoint)
{
    std::atomic<bool> called{false};
    std::atomic<bool> closed{false};
    const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
        called = true;
        RawEndpoint::waitForClose(socket);
        closed = true;
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", endpoint.address(), 1);
    {
        const RawCaller caller(harness.url());
        caller.send(requestText("POST", "/resume/x", PromptHeaders));
        ASSERT_TRUE(waitUntil([&] { return called.load(); }));
    }
    EXPECT_TRUE(waitUntil([&] { return closed.load(); }));
}

// In a large fleet the router first asks another router where the prompt's shared part is. Here no
// router answers, so the caller has left before an endpoint is chosen.
TEST(Forwarding, ACallerThatLeavesDuringALookupCausesNoRequest)
{
    constexpr unsigned Routers = 200;
    constexpr std::chrono::milliseconds LongerThanALookup{300};
    const char *sharedPart =
            "Model: m\r\nToken-Usage: 415,5\r\nPrompt-Prefix: a1:10,b2:400,c3:5\r\n";
    std::atomic<unsigned> requests{0};
    const RawEndpoint endpoint([&](int, const std::string &call, unsigned) {
        if (!call.empty())
            ++requests;
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", endpoint.address(), 1);
    std::atomic<bool> isAsked{false};
    harness.onLoop([&](ForwardingContext &context) {
        context.partLookups.start("router-1",
                                  [&](const std::string &, std::string_view) { isAsked = true; });
        for (unsigned router = 2; router <= Routers; ++router)
            context.partLookups.addRouter("router-" + std::to_string(router));
    });
    {
        const RawCaller caller(harness.url());
        caller.send(requestText("POST", "/resume/x", sharedPart));
        ASSERT_TRUE(waitUntil([&] { return isAsked.load(); }));
    }
    std::this_thread::sleep_for(LongerThanALookup);
    EXPECT_EQ(requests, 0U);
}

TEST(Forwarding, AnEngineWithOutdatedWeightsGetsNoRequestThatItCannotStartInTime)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call) + chunk(event(1)) + LastChunk);
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "stream", endpoint.address(), 1);
    harness.onLoop([](ForwardingContext &context) {
        const auto longAgo = context.settings.weightsDeadline / 2;
        context.weights.learn({"m", 2}, std::chrono::steady_clock::now() - longAgo);
    });
    EXPECT_TRUE(startsWithStatus(
            sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders)), 200));
    harness.onLoop([](ForwardingContext &context) {
        constexpr std::uint64_t TokensOfThreeSeconds = 120000;
        context.endpoints.find("e1")->prefillStarted(TokensOfThreeSeconds);
    });
    EXPECT_TRUE(startsWithStatus(
            sendRequest(harness, requestText("POST", "/stream/x", PromptHeaders)), 503));
}

TEST(Forwarding, MetricsCountRequestsByKindAndOutcome)
{
    const RawEndpoint endpoint(answering("200 OK", "yes"));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "any", endpoint.address());
    sendRequest(harness, requestText("GET", "/any/x"));
    sendRequest(harness, requestText("GET", "/none/x"));
    std::string page;
    harness.onLoop([&](ForwardingContext &context) { page = context.metrics.prometheusText(); });
    EXPECT_NE(page.find("almondmill_requests_total{kind=\"repeatable\",outcome=\"answered\"} 1\n"),
              std::string::npos)
            << page;
    EXPECT_NE(page.find("almondmill_requests_total{kind=\"none\",outcome=\"no_route\"} 1\n"),
              std::string::npos);
    EXPECT_NE(page.find("almondmill_first_byte_seconds_count 1\n"), std::string::npos);
    EXPECT_NE(page.find("almondmill_sends_total 1\n"), std::string::npos);
}

TEST(Forwarding, ADrainingOrRemovedEndpointGetsNoRequests)
{
    const RawEndpoint endpoint(answering("200 OK", "yes"));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "any", endpoint.address());
    harness.onLoop([](ForwardingContext &context) {
        Registration entry = *context.directory.find("e1");
        entry.draining = true;
        context.directory.put(entry);
    });
    EXPECT_TRUE(startsWithStatus(sendRequest(harness, requestText("GET", "/any/x")), 503));
    harness.onLoop([](ForwardingContext &context) { context.directory.remove("e1", 0); });
    EXPECT_TRUE(startsWithStatus(sendRequest(harness, requestText("GET", "/any/x")), 503));
    EXPECT_EQ(endpoint.calls(), 0U);
}

} // namespace almondmill::test
