// Speed of endpoints learnt from answers: samples polluted by waits, endpoints that differ from
// their service or change, and fleets in which no router sees much of one endpoint.

#include "almondmill/forward/endpointperformance.h"

#include "almondmill/forward/endpointchoice.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/forward/peerperformance.h"
#include "almondmill/forward/serviceperformances.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/peers/peerviews.h"
#include "almondmill/route/routedservice.h"

#include "support/enginefleet.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = PerformanceFigures::Milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

/// A prompt of 5,000 tokens that is prefilled at 50 tokens/ms and answered in 20 events of 10 ms,
/// each time `factor` times as long.
AnswerTiming answerOf(double factor = 1)
{
    AnswerTiming answer;
    answer.work = {5000, 0, true};
    answer.toFirstEvent =
            std::chrono::duration_cast<std::chrono::nanoseconds>(Milliseconds(factor * 110));
    answer.toEnd = std::chrono::duration_cast<std::chrono::nanoseconds>(Milliseconds(factor * 190));
    answer.events = 20;
    return answer;
}

void record(ServicePerformance &service, const AnswerTiming &answer, int times, SteadyTime now)
{
    for (int sample = 0; sample < times; ++sample)
        service.record(service.sampleOf(answer), now);
}

EndpointFigures tailOf(bool learns, std::uint64_t seed)
{
    EngineFleet fleet({.routers = 20, .engines = 24, .learns = learns, .seed = seed});
    return fleet.run(seconds(120));
}

} // namespace

TEST(ServicePerformance, BeginsWithTheInitialFigures)
{
    RoutedService configured;
    configured.engine = EngineTraits{12, 93047, 163840, 280000, 1};
    const ServicePerformance service(initialFigures(&configured, 12));
    EXPECT_DOUBLE_EQ(service.figures().prefillTokensPerMs, 38.4);
    EXPECT_NEAR(service.figures().fetchedTokensPerMs, 149.5, 0.1);
    EXPECT_EQ(service.residence(), milliseconds(12 * 20));
}

TEST(ServicePerformance, LearnsPrefillAndResidenceFromAnswers)
{
    ServicePerformance service(initialFigures(nullptr, 12));
    record(service, answerOf(), 200, Start);
    EXPECT_NEAR(service.figures().prefillTokensPerMs, 50, 1);
    EXPECT_NEAR(service.figures().residence.count(), 300, 5);
}

// A wait for a slot must not look like a slow prefill or a long residence.
TEST(ServicePerformance, WaitsDoNotCountAsWork)
{
    ServicePerformance service(initialFigures(nullptr, 12));
    record(service, answerOf(), 200, Start);
    AnswerTiming waited = answerOf();
    waited.toFirstEvent += seconds(2);
    waited.work.startsAtOnce = false;
    record(service, waited, 200, Start);
    EXPECT_NEAR(service.figures().prefillTokensPerMs, 50, 1);
    EXPECT_NEAR(service.figures().residence.count(), 300, 5);
    waited.work.startsAtOnce = true; // The router knew of no wait.
    record(service, waited, 10, Start);
    EXPECT_NEAR(service.figures().prefillTokensPerMs, 50, 1);
}

// The generation of an answer that is no stream must not be taken for a wait.
TEST(ServicePerformance, AnAnswerWithoutEventsCountsAsAWhole)
{
    ServicePerformance service(initialFigures(nullptr, 12));
    AnswerTiming answer = answerOf();
    answer.toFirstEvent = seconds(2);
    answer.toEnd = {};
    answer.events = 0;
    record(service, answer, 200, Start);
    EXPECT_NEAR(service.figures().residence.count(), 2000, 50);
}

TEST(ServicePerformance, FetchesAreLearntApart)
{
    ServicePerformance service(initialFigures(nullptr, 12));
    AnswerTiming fetched = answerOf();
    fetched.work.fetchedTokens = 6000;
    fetched.toFirstEvent += milliseconds(60);
    record(service, answerOf(), 200, Start);
    record(service, fetched, 200, Start);
    EXPECT_NEAR(service.figures().prefillTokensPerMs, 50, 1);
    EXPECT_NEAR(service.figures().fetchedTokensPerMs, 100, 5);
}

TEST(EndpointPerformance, ASlowEndpointIsKnownAndForgotten)
{
    ServicePerformance service(initialFigures(nullptr, 12));
    record(service, answerOf(), 200, Start);
    EndpointPerformance slow;
    for (int sample = 0; sample < 12; ++sample)
        slow.record(service.ratiosOf(service.sampleOf(answerOf(2.5))), Start);
    EXPECT_GT(slow.figures(service, Start).residence, 1.8 * service.figures().residence);
    EXPECT_LT(slow.figures(service, Start).prefillTokensPerMs, 30);
    EXPECT_TRUE(slow.deviation(Start));
    EXPECT_FALSE(slow.deviation(Start + seconds(300)));
    EXPECT_NEAR(slow.figures(service, Start + seconds(300)).prefillTokensPerMs, 50, 1);
}

// Each of 38 routers saw one or two answers of an endpoint; only those that found it slow say so.
TEST(EndpointPerformance, ManyRoutersThatSeeLittleFindTheSlowEndpointOnly)
{
    EndpointViews endpoints;
    for (const char *id : {"ordinary", "slow", "unseen"}) {
        Registration entry;
        entry.id = id;
        entry.service = "models";
        entry.address = "127.0.0.1:8000";
        entry.slots = 12;
        endpoints.changed({id, &entry});
    }
    PeerViews peers;
    for (int router = 0; router < 38; ++router) {
        PeerMessage message;
        message.sender = "router-" + std::to_string(router);
        message.incarnation = 1;
        message.sequence = 1;
        message.services = {{shortHash("models"), {{50, 4}, {}, {300, 4}}, {}}};
        const EndpointSamples samples{{0.4, 1}, {}, {2.5, 1}};
        message.speeds.push_back({shortHash("slow"), samples});
        if (router % 10 == 0)
            message.speeds.push_back({shortHash("ordinary"), samples});
        peers.applyMessage(message, Start);
    }
    peers.refresh(Start, 113);
    ServicePerformances performances;
    applyPeerPerformance(endpoints, peers, nullptr, performances);
    const ServicePerformance &service = performances.of("models", 12);
    const auto rateOf = [&](const char *id) {
        return endpoints.find(id)->performance().figures(service, Start).prefillTokensPerMs;
    };
    EXPECT_NEAR(service.figures().prefillTokensPerMs, 50, 1);
    EXPECT_LT(rateOf("slow"), 27);
    EXPECT_GT(rateOf("ordinary"), 35);
    EXPECT_NEAR(rateOf("unseen"), 50, 1);
}

// Engines of relative speed 0.6, 1 and 1.6, one of which turns slow halfway.
TEST(EndpointPerformance, PlacementByEstimatesShortensTheTail)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const EndpointFigures learnt = tailOf(true, seed);
        const EndpointFigures constant = tailOf(false, seed);
        EXPECT_LT(learnt.lateShare, 0.8 * constant.lateShare) << seed;
        EXPECT_LT(learnt.firstEvent95, constant.firstEvent95) << seed;
        EXPECT_LT(learnt.shareOfTurnedSlow, constant.shareOfTurnedSlow) << seed;
    }
}

} // namespace almondmill::test
