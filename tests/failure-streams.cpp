#include "support/caller.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace almondmill::test {

namespace {

using standin::StreamFault;
using standin::StreamFaultMode;

constexpr const char *ShortTimeouts =
        "[timeouts]\nstream_idle = \"300ms\"\nfirst_byte = \"600ms\"\n";
constexpr std::uint32_t EventsBeforeFault = 4;

standin::EngineOptions fastEngines()
{
    standin::EngineOptions options;
    options.tokenGap = std::chrono::milliseconds(10);
    return options;
}

std::size_t servingEngine(const CallerAnswer &answer)
{
    return std::stoul(answer.servedBy.substr(std::string("engine-").size()));
}

/// A router with engines that can fail in the middle of a stream.
class Streams : public testing::Test
{
protected:
    explicit Streams(std::size_t engines = 2)
        : m_site(engines, 0, fastEngines())
        , m_router(m_site.platformUrl(), ShortTimeouts)
    {}

    void SetUp() override { ASSERT_TRUE(m_router.waitUntilReady()); }

    /// Reads the stream from an engine without the router, as the reference.
    std::string readFromEngine(const CompletionOrder &order)
    {
        return askForCompletion("http://" + m_site.engineAddress(0), order).body;
    }

    void setFaultEverywhere(const StreamFault &fault)
    {
        m_site.engine(0).setFault(fault);
        m_site.engine(1).setFault(fault);
    }

    CallerAnswer ask(const CompletionOrder &order)
    {
        return askForCompletion(m_router.callersUrl(), order);
    }

    /// Requests the completion twice. During the second stream, after `EventsBeforeFault` events,
    /// calls `injectFault` once with the index of the engine that served the first.
    CallerAnswer askWithFault(const CompletionOrder &order,
                              const std::function<void(std::size_t)> &injectFault)
    {
        bool injected = false;
        const CallerAnswer first = ask(order);
        return askForCompletion(m_router.callersUrl(), order, [&](const std::string &body) {
            if (!injected && eventCount(body) >= EventsBeforeFault)
                injectFault(servingEngine(first));
            injected = injected || eventCount(body) >= EventsBeforeFault;
            return true;
        });
    }

    std::uint64_t computations() { return m_site.engine(0).started() + m_site.engine(1).started(); }

    Site m_site;
    RouterProcess m_router;
};

void expectExplicitError(const std::string &body, const std::string &code)
{
    const auto error = body.find("event: error\ndata: ");
    ASSERT_NE(error, std::string::npos) << body;
    const std::string data = body.substr(error + std::string("event: error\ndata: ").size());
    const auto json = nlohmann::json::parse(data);
    EXPECT_EQ(json["error"]["code"], code);
    EXPECT_EQ(json["ran"], "unknown");
}

/// A fault that the router hides from the caller, by resuming the stream or by checking the event
/// numbers.
struct RecoverableFault
{
    const char *name;
    StreamFaultMode mode;
    std::uint64_t resumes;
};

class RecoverableStreams : public Streams, public testing::WithParamInterface<RecoverableFault>
{};

} // namespace

TEST_P(RecoverableStreams, ReachTheCallerUnchanged)
{
    const CompletionOrder order;
    const std::string expected = readFromEngine(order);
    setFaultEverywhere({GetParam().mode, EventsBeforeFault, 1, false});
    const std::uint64_t before = computations();
    EXPECT_EQ(ask(order).body, expected);
    EXPECT_EQ(computations(), before + 1);
    EXPECT_EQ(counterValue(m_router, "almondmill_stream_resumes_total"), GetParam().resumes);
}

INSTANTIATE_TEST_SUITE_P(Faults, RecoverableStreams,
                         testing::Values(RecoverableFault{"Cut", StreamFaultMode::Cut, 1},
                                         RecoverableFault{"Stalled", StreamFaultMode::Stall, 1},
                                         RecoverableFault{"Duplicated", StreamFaultMode::Duplicate,
                                                          0},
                                         RecoverableFault{"Reordered", StreamFaultMode::Reorder, 1},
                                         RecoverableFault{"Gapped", StreamFaultMode::Skip, 1},
                                         RecoverableFault{"SentTwice", StreamFaultMode::Twice, 0}),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

TEST_F(Streams, OfAKilledEngineAreRecomputedAtAnotherWithoutRepeats)
{
    const CompletionOrder order;
    const std::string expected = readFromEngine(order);
    const CallerAnswer answer =
            askWithFault(order, [&](std::size_t index) { m_site.stopEngine(index); });
    EXPECT_EQ(answer.body, expected);
    EXPECT_EQ(counterValue(m_router, "almondmill_stream_recomputes_total"), 1U);
}

TEST_F(Streams, OfAKilledEngineEndWithAnErrorWhenTheTokensWouldDiffer)
{
    CompletionOrder order;
    order.deterministic = false;
    const std::string expected = readFromEngine(order);
    const CallerAnswer answer =
            askWithFault(order, [&](std::size_t index) { m_site.stopEngine(index); });
    expectExplicitError(answer.body, "stream_broken");
    const std::string relayed = answer.body.substr(0, answer.body.find("event: error"));
    EXPECT_TRUE(expected.starts_with(relayed));
    EXPECT_GE(eventCount(relayed), EventsBeforeFault);
}

TEST_F(Streams, ThatCannotBeResumedAreRecomputed)
{
    const CompletionOrder order;
    const std::string expected = readFromEngine(order);
    const std::size_t first = servingEngine(ask(order));
    m_site.engine(first).setFault({StreamFaultMode::Cut, EventsBeforeFault, 1, true});
    EXPECT_EQ(ask(order).body, expected);
    EXPECT_EQ(counterValue(m_router, "almondmill_stream_recomputes_total"), 1U);
}

TEST_F(Streams, EndWithAnErrorWhenTheRecomputedTokensDiffer)
{
    const CompletionOrder order;
    const std::size_t first = servingEngine(ask(order));
    m_site.engine(first).setFault({StreamFaultMode::Cut, EventsBeforeFault, 1, true});
    m_site.engine(1 - first).setFault({StreamFaultMode::Other, 0, 1, false});
    const CallerAnswer answer = ask(order);
    expectExplicitError(answer.body, "stream_differs");
    EXPECT_EQ(eventCount(answer.body), EventsBeforeFault + 1);
}

TEST_F(Streams, WithTheIdOfAnotherAttemptAreDroppedAndCounted)
{
    for (const bool stream : {true, false}) {
        CompletionOrder order;
        order.stream = stream;
        order.prompt = std::string(20000, stream ? 's' : 'p');
        const std::string expected = readFromEngine(order);
        const std::size_t first = servingEngine(ask(order));
        const auto before = counterValue(m_router, "almondmill_crossed_answers_total");
        m_site.engine(first).setFault({StreamFaultMode::Crossed, 0, 1, false});
        EXPECT_EQ(ask(order).body, expected);
        EXPECT_EQ(counterValue(m_router, "almondmill_crossed_answers_total"), before + 1);
    }
}

TEST_F(Streams, WithoutAFirstEventAreSentToAnotherEngine)
{
    const CompletionOrder order;
    const std::string expected = readFromEngine(order);
    const std::size_t first = servingEngine(ask(order));
    m_site.engine(first).setFault({StreamFaultMode::Silent, 0, 1, false});
    const CallerAnswer answer = ask(order);
    EXPECT_EQ(answer.body, expected);
    EXPECT_EQ(servingEngine(answer), 1 - first);
    EXPECT_EQ(counterValue(m_router, "almondmill_request_retries_total"), 1U);
}

TEST_F(Streams, OfADisconnectedCallerAreCancelledAtTheEngine)
{
    CompletionOrder order;
    order.tokens = 100000;
    askForCompletion(m_router.callersUrl(), order,
                     [](const std::string &body) { return eventCount(body) < 2; });
    EXPECT_TRUE(waitUntil(
            [&] { return m_site.engine(0).cancelled() + m_site.engine(1).cancelled() == 1; }));
    EXPECT_EQ(counterValue(m_router, "almondmill_streams_cancelled_total"), 1U);
}

TEST_F(Streams, PlainAnswersOfADisconnectedCallerAreCancelledAtTheEngine)
{
    CompletionOrder order;
    order.tokens = 100000;
    order.stream = false;
    {
        const RawCaller caller(m_router.callersUrl());
        const std::string body = order.body();
        caller.send("POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer " + std::string(ApiKey)
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        ASSERT_TRUE(waitUntil([&] { return computations() == 1; }));
    }
    EXPECT_TRUE(waitUntil(
            [&] { return m_site.engine(0).cancelled() + m_site.engine(1).cancelled() == 1; }));
}

} // namespace almondmill::test
