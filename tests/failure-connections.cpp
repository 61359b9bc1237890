// Guards the use of connections: second copies of an answer on a connection that is used again,
// requests that arrive while a router stops, and streams that are slow or stalled.

#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>

#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

std::string callWithId(const std::string &target, const std::string &id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
}

std::string askWithId(const ForwardingHarness &harness, const std::string &id)
{
    const RawCaller caller(harness.url());
    caller.send(callWithId("/once/x", id));
    return caller.readToEnd();
}

/// Answers each call on a connection with a body that names the call's id, and again with the first
/// `copyBytes` bytes of the same answer after `delay`.
RawEndpoint::Behaviour answeringTwice(milliseconds delay, std::size_t copyBytes)
{
    return [=](int socket, const std::string &first, unsigned) {
        for (std::string call = first; !call.empty(); call = RawEndpoint::readCall(socket)) {
            const std::string answer =
                    signedAnswer(call, "200 OK", "answer to " + headerOf(call, "Request-Id"));
            const std::string copy = answer.substr(0, copyBytes);
            if (delay == milliseconds(0)) {
                RawEndpoint::write(socket, answer + copy);
                continue;
            }
            RawEndpoint::write(socket, answer);
            std::this_thread::sleep_for(delay);
            RawEndpoint::write(socket, copy);
        }
    };
}

/// Whether the answer is the one to request `id`, or an error that the router made itself.
bool isOwnOrError(const std::string &answer, const std::string &id)
{
    if (answer.starts_with("HTTP/1.1 200 "))
        return answer.ends_with("\r\n\r\nanswer to " + id);
    return answer.starts_with("HTTP/1.1 502 ") && headerOf(answer, "Server-Signature").empty();
}

std::string streamHead(const std::string &call)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\n"
             "Connection: close\r\n\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

/// Routes as in `oneRouteOfEachKind`, with a longest pause between events of 100 ms.
RoutingConfiguration withShortPauses()
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    for (Route &route : configuration.routes) {
        route.targetEventGap = milliseconds(100);
        route.timeout = milliseconds(4000);
    }
    return configuration;
}

} // namespace

TEST(Connections, ASecondCopyOfAnAnswerNeverReachesTheNextCaller)
{
    constexpr std::size_t Complete = 10000;
    for (const milliseconds delay : {milliseconds(0), milliseconds(1), milliseconds(30),
                                     milliseconds(150), milliseconds(500)}) {
        const int calls = delay < milliseconds(100) ? 20 : 4;
        for (const std::size_t copyBytes : {Complete, std::size_t(20), std::size_t(60)}) {
            const RawEndpoint endpoint(answeringTwice(delay, copyBytes));
            ForwardingHarness harness;
            harness.configure(oneRouteOfEachKind());
            harness.addEndpoint("e1", "once", endpoint.address());
            for (int call = 0; call < calls; ++call) {
                const std::string id = "r" + std::to_string(call);
                const std::string answer = askWithId(harness, id);
                EXPECT_TRUE(isOwnOrError(answer, id))
                        << id << " " << delay.count() << " " << copyBytes << "\n"
                        << answer;
            }
        }
    }
}

TEST(Connections, HeadsOfTwoAnswersThatRunIntoEachOtherAreNoAnswer)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        // A copy that breaks off in its head, followed by the answer.
        RawEndpoint::write(socket,
                           "HTTP/1.1 200 OK\r\nServer-Signature: old\r\nX-Cut: "
                                   + signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const std::string answer = askWithId(harness, "r1");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 502 ")) << answer;
    EXPECT_EQ(headerOf(answer, "Server-Signature"), "");
}

class PlannedStop : public testing::Test
{
protected:
    PlannedStop()
        : m_endpoint([](int socket, const std::string &call, unsigned) {
            RawEndpoint::write(socket,
                               signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
        })
    {
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", m_endpoint.address());
    }

    static void expectAnswered(const RawCaller &caller)
    {
        const std::string answer = caller.readToEnd();
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    }

private:
    RawEndpoint m_endpoint;

protected:
    ForwardingHarness harness; ///< Ends before the endpoint.
};

TEST_F(PlannedStop, ARequestWhoseHeadHasPartlyArrivedIsAnswered)
{
    const RawCaller caller(harness.url());
    const std::string call = callWithId("/once/x", "r1");
    caller.send(call.substr(0, 40));
    std::this_thread::sleep_for(milliseconds(100));
    harness.beginDraining();
    harness.stopListening();
    caller.send(call.substr(40));
    expectAnswered(caller);
}

TEST_F(PlannedStop, ARequestThatHasArrivedUnreadIsAnswered)
{
    const RawCaller caller(harness.url());
    std::this_thread::sleep_for(milliseconds(100));
    harness.beginDraining();
    harness.stopListening([&] {
        caller.send(callWithId("/once/x", "r1"));
        std::this_thread::sleep_for(milliseconds(50));
    });
    expectAnswered(caller);
}

TEST_F(PlannedStop, AConnectionThatIsNotYetAcceptedIsAnswered)
{
    harness.beginDraining();
    std::unique_ptr<RawCaller> caller;
    harness.stopListening([&] {
        caller = std::make_unique<RawCaller>(harness.url());
        caller->send(callWithId("/once/x", "r1"));
        std::this_thread::sleep_for(milliseconds(50));
    });
    expectAnswered(*caller);
}

TEST(EventStreams, ASlowButSoundStreamIsCompleted)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call));
        for (int id = 1; id <= 8; ++id) {
            RawEndpoint::write(socket, event(id));
            std::this_thread::sleep_for(milliseconds(250));
        }
    });
    for (const char *route : {"stream", "resume"}) {
        ForwardingHarness harness;
        harness.configure(withShortPauses());
        harness.addEndpoint("e1", route, endpoint.address());
        const auto answer = sendRequest(harness, callWithId("/" + std::string(route) + "/x", "r1"));
        EXPECT_TRUE(answer.ends_with("\r\n0\r\n\r\n")) << route << answer;
        EXPECT_EQ(eventCount(answer), 8U) << route;
    }
}

TEST(EventStreams, AStreamThatSendsNothingIsResumedElsewhere)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        const bool isResumed = !headerOf(call, "Last-Event-Id").empty();
        RawEndpoint::write(socket, streamHead(call) + event(isResumed ? 2 : 1));
        if (!isResumed)
            RawEndpoint::waitForClose(socket);
    });
    ForwardingHarness harness;
    harness.configure(withShortPauses());
    harness.addEndpoint("e1", "resume", endpoint.address());
    harness.addEndpoint("e2", "resume", endpoint.address());
    const auto startedAt = Clock::now();
    const auto answer = sendRequest(harness, callWithId("/resume/x", "r1"));
    EXPECT_LT(Clock::now() - startedAt, milliseconds(2000));
    EXPECT_TRUE(answer.ends_with("\r\n0\r\n\r\n")) << answer;
    EXPECT_EQ(eventCount(answer), 2U);
}

TEST(EventStreams, AStreamThatSendsOnlyCommentsEndsAtItsTimeout)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamHead(call) + event(1));
        bool isOpen = true;
        while (isOpen) {
            std::this_thread::sleep_for(milliseconds(50));
            isOpen = RawEndpoint::write(socket, ":\n\n");
        }
    });
    for (const char *route : {"stream", "resume"}) {
        ForwardingHarness harness;
        harness.configure(withShortPauses());
        harness.addEndpoint("e1", route, endpoint.address());
        const auto startedAt = Clock::now();
        const auto answer = sendRequest(harness, callWithId("/" + std::string(route) + "/x", "r1"));
        EXPECT_LT(Clock::now() - startedAt, milliseconds(4600)) << route;
        EXPECT_FALSE(answer.ends_with("\r\n0\r\n\r\n")) << route << answer;
    }
}

} // namespace almondmill::test
