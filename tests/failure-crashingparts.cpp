// Guards against one part of a prompt crashing engine after engine, and against requests being
// refused that only share other parts with it or that were at crashes without guilt.

#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/promptrequest.h"
#include "almondmill/kernel/steadynow.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <limits>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// Longer than the time within which crashes count as one.
constexpr milliseconds Pause{300};

std::string stream(const std::string &call)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
             "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n";
}

bool hasPart(const std::string &call, const std::string &part)
{
    return headerOf(call, "Prompt-Prefix").find(part + ":") != std::string::npos;
}

/// The beginning of a stream, up to its first event.
std::string streamStart(const std::string &call)
{
    const std::string whole = stream(call);
    return whole.substr(0, whole.rfind("0\r\n\r\n"));
}

/// When an engine ends that begins to write an answer to a prompt with the part "dead".
enum class CrashPoint { BeforeFirstEvent, AfterFirstEvent };

/// Engines whose process ends when an answer to a prompt with the part "dead" begins.
class CrashingEngines
{
public:
    CrashingEngines(ForwardingHarness &harness, const std::string &service, std::size_t count,
                    CrashPoint point = CrashPoint::BeforeFirstEvent)
    {
        for (std::size_t index = 0; index < count; ++index) {
            m_engines.emplace_back([=, this](int socket, const std::string &call, unsigned) {
                if (!hasPart(call, "dead")) {
                    RawEndpoint::write(socket, stream(call));
                    return;
                }
                if (point == CrashPoint::AfterFirstEvent)
                    RawEndpoint::write(socket, streamStart(call));
                ++m_crashes;
                m_engines[index].crash();
            });
            harness.addEndpoint(service + std::to_string(index), service,
                                m_engines.back().address(), 1);
        }
    }

    int crashes() const { return m_crashes; }

private:
    std::atomic<int> m_crashes{0};
    std::deque<RawEndpoint> m_engines;
};

std::string prompt(ForwardingHarness &harness, const std::string &route, const std::string &parts,
                   const std::string &id = "r1")
{
    const std::string idField = "Request-Id: r1\r\n";
    std::string text =
            requestText("POST", "/" + route + "/x",
                        "Model: m\r\nToken-Usage: 30,5\r\nPrompt-Prefix: " + parts + "\r\n");
    text.replace(text.find(idField), idField.size(), "Request-Id: " + id + "\r\n");
    return sendRequest(harness, text);
}

bool isServed(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("0\r\n\r\n");
}

/// Records three crashes at the parts, so long ago that the next request tests them.
void makeHalfOpen(ForwardingHarness &harness, const std::vector<std::string> &parts)
{
    PromptRequest prompt;
    prompt.model = "m";
    for (const std::string &part : parts)
        prompt.parts.push_back({part, 10});
    prompt.parts.push_back({"own", 5});
    harness.onLoop([hashes = sharedPartHashes(prompt)](ForwardingContext &context) {
        const SteadyTime first = steadyNow() - std::chrono::seconds(25);
        for (std::uint64_t engine = 1; engine <= 3; ++engine)
            context.partBreakers.recordCrash(engine, hashes, first + engine * Pause);
    });
}

/// Sends ten requests with the crashing part, each followed by a sound one that shares its first
/// part. Returns how many of the sound ones were served.
int sendBoth(ForwardingHarness &harness, const std::string &route)
{
    int served = 0;
    for (int index = 0; index < 10; ++index) {
        const std::string own = std::to_string(index);
        prompt(harness, route, "f1:10,dead:15,c" + own + ":5");
        served += isServed(prompt(harness, route, "f1:10,b2:15,d" + own + ":5")) ? 1 : 0;
        std::this_thread::sleep_for(Pause);
    }
    return served;
}

} // namespace

// Issue 24: requests with one part crashed each engine, one after the other.
TEST(CrashingParts, APartIsRefusedAfterThreeCrashesAndSoundRequestsAreServed)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    const CrashingEngines engines(harness, "resume", 16);
    EXPECT_EQ(sendBoth(harness, "resume"), 10);
    EXPECT_LE(engines.crashes(), 5);
    const auto answer = prompt(harness, "resume", "f1:10,dead:15,e1:5");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_GT(std::stod("0" + headerOf(answer, "Retry-After")), 10.0);
}

// Guards against a part that crashes each engine right after the first event of its answer: such
// crashes counted for nothing, and each stream was continued at the next engine.
TEST(CrashingParts, ACrashRightAfterTheFirstEventCounts)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    const CrashingEngines engines(harness, "resume", 16, CrashPoint::AfterFirstEvent);
    EXPECT_EQ(sendBoth(harness, "resume"), 10);
    EXPECT_LE(engines.crashes(), 5);
    const auto answer = prompt(harness, "resume", "f1:10,dead:15,e1:5");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

// Guards against blaming a part for engines that end in the middle of its answers, as a lost rack
// does: requests with it must still be served.
TEST(CrashingParts, ACrashInTheMiddleOfAnAnswerCountsForNothing)
{
    constexpr std::size_t Crashing = 4;
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    std::deque<RawEndpoint> engines;
    for (std::size_t index = 0; index < Crashing; ++index) {
        engines.emplace_back([&, index](int socket, const std::string &call, unsigned) {
            RawEndpoint::write(socket, streamStart(call));
            std::this_thread::sleep_for(Pause);
            RawEndpoint::write(socket, "11\r\nid: 2\ndata: abc\n\n\r\n");
            std::this_thread::sleep_for(Pause / 10);
            engines[index].crash();
        });
        const std::string id = "e" + std::to_string(index);
        harness.addEndpoint(id, "stream", engines.back().address(), 1);
        prompt(harness, "stream", "f1:10,b2:15,c1:5");
    }
    const RawEndpoint sound([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, stream(call));
    });
    harness.addEndpoint("sound", "stream", sound.address(), 1);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    EXPECT_TRUE(isServed(prompt(harness, "stream", "f1:10,b2:15,d1:5")));
}

// Issue 24: the same for streams that may run once only, which end without a retry.
TEST(CrashingParts, APartOfStreamsThatAreNotRepeatableIsRefusedToo)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    const CrashingEngines engines(harness, "stream", 12);
    EXPECT_EQ(sendBoth(harness, "stream"), 10);
    EXPECT_LE(engines.crashes(), 5);
}

// Guards against a test of a half-open part that is lost when the first engine is full, so that
// sound requests with the part stay refused under load.
TEST(CrashingParts, ATestGoesToAnotherEngineWhenTheFirstIsFull)
{
    std::atomic<int> calls{0};
    const RawEndpoint::Behaviour behave = [&](int socket, const std::string &call, unsigned) {
        const bool isFirst = calls++ == 0;
        const char *status = isFirst ? "503 Service Unavailable" : "200 OK";
        const char *fields =
                isFirst ? "Not-Executed: 1\r\nConnection: close\r\n" : "Connection: close\r\n";
        RawEndpoint::write(socket, signedAnswer(call, status, "x", fields));
    };
    const RawEndpoint first(behave);
    const RawEndpoint second(behave);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "any", first.address(), 1);
    harness.addEndpoint("e2", "any", second.address(), 1);
    makeHalfOpen(harness, {"f1", "b2"});
    const auto answer = prompt(harness, "any", "f1:10,b2:15,c3:5");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
    EXPECT_EQ(calls, 2);
}

// Guards against a test that nobody holds any more keeping a part refused.
TEST(CrashingParts, ATestWithoutAResultIsGivenBack)
{
    std::atomic<int> calls{0};
    const RawEndpoint engine([&](int socket, const std::string &call, unsigned) {
        const bool isFirst = calls++ == 0;
        const char *status = isFirst ? "503 Service Unavailable" : "200 OK";
        const char *fields =
                isFirst ? "Not-Executed: 1\r\nConnection: close\r\n" : "Connection: close\r\n";
        RawEndpoint::write(socket, signedAnswer(call, status, "x", fields));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "any", engine.address(), 1);
    makeHalfOpen(harness, {"f1", "b2"});
    prompt(harness, "any", "f1:10,b2:15,c3:5");
    std::this_thread::sleep_for(Pause);
    const auto answer = prompt(harness, "any", "f1:10,b2:15,c4:5");
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
}

// Guards against all callers that were refused for a part coming back in the same moment.
TEST(CrashingParts, RefusedCallersAreToldToComeBackAtDifferentTimes)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    const CrashingEngines engines(harness, "resume", 16);
    sendBoth(harness, "resume");
    double earliest = std::numeric_limits<double>::max();
    double latest = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < 20; ++index) {
        const std::string id = "caller-" + std::to_string(index);
        const auto answer = prompt(harness, "resume", "f1:10,dead:15,e1:5", id);
        ASSERT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
        const std::chrono::duration<double> now = std::chrono::steady_clock::now() - start;
        const double returnsAt = now.count() + std::stod(headerOf(answer, "Retry-After"));
        earliest = std::min(earliest, returnsAt);
        latest = std::max(latest, returnsAt);
    }
    EXPECT_GT(latest - earliest, 2.0);
}

// Guards against blaming a part for connections that were reset while the engine went on.
TEST(CrashingParts, ResetConnectionsOfARunningEngineOpenNoPart)
{
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    std::deque<RawEndpoint> engines;
    std::atomic<bool> resets{true};
    for (int index = 0; index < 6; ++index) {
        engines.emplace_back([&](int socket, const std::string &call, unsigned) {
            if (call.empty()) // A connection that only tests whether the engine runs.
                return;
            if (resets)
                RawEndpoint::resetOnClose(socket);
            else
                RawEndpoint::write(socket, stream(call));
        });
        harness.addEndpoint("e" + std::to_string(index), "stream", engines.back().address(), 1);
    }
    for (int index = 0; index < 6; ++index) {
        prompt(harness, "stream", "f1:10,b2:15,c3:5");
        std::this_thread::sleep_for(Pause);
    }
    resets = false;
    const auto answer = prompt(harness, "stream", "f1:10,b2:15,c4:5");
    EXPECT_TRUE(isServed(answer)) << answer;
}

} // namespace almondmill::test
