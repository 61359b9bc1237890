// Selection of endpoints by each placement rule under different patterns of load and failure.

#include "almondmill/forward/endpointchoice.h"

#include "almondmill/kernel/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

std::vector<EndpointCandidate> engines(std::size_t count)
{
    std::vector<EndpointCandidate> candidates(count);
    for (std::size_t index = 0; index < count; ++index) {
        candidates[index].idHash = hash64("engine-" + std::to_string(index));
        candidates[index].slots = 48;
        candidates[index].memoryTokens = 98960;
        candidates[index].isLocal = true;
    }
    return candidates;
}

std::vector<EndpointCandidate> withFetchableParts(std::vector<EndpointCandidate> candidates)
{
    for (EndpointCandidate &candidate : candidates)
        candidate.canFetchParts = true;
    return candidates;
}

SoonestFirstEvent ruleForPart(std::uint64_t part)
{
    SoonestFirstEvent rule;
    rule.sharedPartHash = hash64("part-" + std::to_string(part));
    rule.ownTokens = 2890;
    rule.sharedTokens = 6300;
    rule.outputTokens = 13;
    rule.targetLatency = milliseconds(600);
    return rule;
}

} // namespace

TEST(EndpointChoice, NoCandidatesGiveNoChoice)
{
    EXPECT_EQ(chooseEndpoint(LeastExpectedTime{1}, {}), std::nullopt);
    EXPECT_EQ(chooseEndpoint(ruleForPart(1), {}), std::nullopt);
}

TEST(EndpointChoice, NewPartsGoToTheSameEngineFromEveryRouter)
{
    auto candidates = engines(18);
    const auto chosen = chooseEndpoint(ruleForPart(7), candidates);
    auto reversed = candidates;
    std::reverse(reversed.begin(), reversed.end());
    const auto other = chooseEndpoint(ruleForPart(7), reversed);
    EXPECT_EQ(candidates[*chosen].idHash, reversed[*other].idHash);
}

TEST(EndpointChoice, PartsStayAtTheEngineTheyWereLastSentTo)
{
    for (std::size_t at = 0; at < 18; ++at) {
        auto candidates = engines(18);
        candidates[at].hasSharedParts = true;
        EXPECT_EQ(chooseEndpoint(ruleForPart(7), candidates), at);
    }
}

TEST(EndpointChoice, PartsMoveAwayFromALongQueue)
{
    auto candidates = withFetchableParts(engines(18));
    candidates[3].hasSharedParts = true;
    candidates[3].load.pendingPrefillTokens = 40000;
    EXPECT_NE(chooseEndpoint(ruleForPart(7), candidates), 3U);
}

TEST(EndpointChoice, PartsInPrefillAreWaitedForInAShortQueue)
{
    auto candidates = engines(18);
    candidates[3].hasSharedParts = true;
    candidates[3].load.pendingPrefillTokens = 20000;
    EXPECT_EQ(chooseEndpoint(ruleForPart(7), candidates), 3U);
    EXPECT_NE(chooseEndpoint(ruleForPart(7), withFetchableParts(candidates)), 3U);
}

TEST(EndpointChoice, PartsInPrefillAreRecomputedWhenTheQueueMakesTheAnswerLate)
{
    auto candidates = engines(18);
    candidates[3].hasSharedParts = true;
    candidates[3].load.pendingPrefillTokens = 60000;
    EXPECT_NE(chooseEndpoint(ruleForPart(7), candidates), 3U);
}

TEST(EndpointChoice, PartsMoveAwayFromFullMemory)
{
    auto candidates = withFetchableParts(engines(18));
    candidates[3].hasSharedParts = true;
    candidates[3].load.heldTokens = 98000;
    EXPECT_NE(chooseEndpoint(ruleForPart(7), candidates), 3U);
}

TEST(EndpointChoice, AnIdleEngineDoesNotReceiveAllPartsAtOnce)
{
    auto candidates = engines(18);
    for (auto &candidate : candidates)
        candidate.load.pendingPrefillTokens = 20000;
    candidates[5].load = {};
    std::size_t partsAtIdle = 0;
    constexpr std::size_t Parts = 400;
    for (std::size_t part = 0; part < Parts; ++part)
        partsAtIdle += chooseEndpoint(ruleForPart(part), candidates) == 5U ? 1 : 0;
    EXPECT_GT(partsAtIdle, Parts / 18);
    EXPECT_LT(partsAtIdle, Parts / 3);
}

TEST(EndpointChoice, EqualEnginesShareNewParts)
{
    const auto candidates = engines(18);
    std::map<std::size_t, int> parts;
    for (std::size_t part = 0; part < 1800; ++part)
        ++parts[*chooseEndpoint(ruleForPart(part), candidates)];
    EXPECT_EQ(parts.size(), 18U);
    for (const auto &[engine, count] : parts) {
        EXPECT_GT(count, 50) << engine;
        EXPECT_LT(count, 170) << engine;
    }
}

TEST(EndpointChoice, EnginesThatLoadWeightsReceiveNoRequests)
{
    auto candidates = engines(3);
    candidates[0].isLoading = true;
    candidates[2].isLoading = true;
    for (std::uint64_t part = 0; part < 20; ++part)
        EXPECT_EQ(chooseEndpoint(ruleForPart(part), candidates), 1U);
}

TEST(EndpointChoice, OutdatedWeightsCostAFifthOfTheTargetLatency)
{
    auto candidates = engines(2);
    candidates[0].hasOutdatedWeights = true;
    for (std::uint64_t part = 0; part < 20; ++part)
        EXPECT_EQ(chooseEndpoint(ruleForPart(part), candidates), 1U);
    candidates[1].load.pendingPrefillTokens = 60000;
    for (std::uint64_t part = 0; part < 20; ++part)
        EXPECT_EQ(chooseEndpoint(ruleForPart(part), candidates), 0U);
}

TEST(EndpointChoice, RequestsAvoidSlowFailingAndBackedOffEndpoints)
{
    auto candidates = engines(4);
    for (auto &candidate : candidates)
        candidate.latency = milliseconds(30);
    candidates[0].latency = milliseconds(240);
    candidates[1].failureShare = 0.5;
    candidates[2].isAvoided = true;
    for (std::uint64_t call = 0; call < 20; ++call)
        EXPECT_EQ(chooseEndpoint(LeastExpectedTime{call}, candidates), 3U);
}

RC_GTEST_PROP(EndpointChoice, AnEndpointIsAlwaysChosen, ())
{
    auto candidates = engines(*rc::gen::inRange<std::size_t>(1, 30));
    for (auto &candidate : candidates) {
        candidate.isLoading = *rc::gen::arbitrary<bool>();
        candidate.isAvoided = *rc::gen::arbitrary<bool>();
        candidate.hasSharedParts = *rc::gen::arbitrary<bool>();
        candidate.load.pendingPrefillTokens = *rc::gen::inRange(0, 1000000);
        candidate.load.heldTokens = *rc::gen::inRange(0, 1000000);
    }
    const auto chosen =
            chooseEndpoint(ruleForPart(*rc::gen::inRange<std::uint64_t>(0, 100)), candidates);
    RC_ASSERT(chosen && *chosen < candidates.size());
    const bool allLoad = std::all_of(candidates.begin(), candidates.end(),
                                     [](const auto &candidate) { return candidate.isLoading; });
    RC_ASSERT(allLoad || !candidates[*chosen].isLoading);
}

} // namespace almondmill::test
