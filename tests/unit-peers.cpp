#include "almondmill/peers/peermessage.h"
#include "almondmill/peers/peerviews.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

PeerMessage messageOf(const std::string &sender, std::uint64_t sequence)
{
    PeerMessage message;
    message.sender = sender;
    message.incarnation = 1;
    message.sequence = sequence;
    return message;
}

} // namespace

RC_GTEST_PROP(PeerMessage, RoundTripsThroughEncoding, ())
{
    PeerMessage message =
            messageOf(*rc::gen::container<std::string>(rc::gen::inRange('!', '~')), 7);
    message.leaving = *rc::gen::arbitrary<bool>();
    message.configuration = *rc::gen::arbitrary<std::uint32_t>();
    message.weights = {{{"m", *rc::gen::arbitrary<std::uint32_t>()}, milliseconds(1200)}};
    message.loads = {{*rc::gen::arbitrary<std::uint32_t>(), {1.5, 20, 300}}};
    message.loading = {{5, milliseconds(700)}};
    message.services = {{7, {{50.5, 3.5}, {}, {2300, 12}}, {4.5, 0, 11}}};
    message.speeds = {{9, {{0.5, 1}, {}, {2.5, 1.5}}}};
    const auto decoded = decodePeerMessage(encodePeerMessage(message));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->sender == message.sender);
    RC_ASSERT(decoded->leaving == message.leaving);
    RC_ASSERT(decoded->weights.front().target.version == message.weights.front().target.version);
    RC_ASSERT(decoded->weights.front().knownFor == milliseconds(1200));
    RC_ASSERT(decoded->loads.front().endpoint == message.loads.front().endpoint);
    RC_ASSERT(decoded->loads.front().load.openRequests == 1.5);
    RC_ASSERT(decoded->loading.front().timeLeft == milliseconds(700));
    const auto &service = decoded->services.front();
    RC_ASSERT(service.service == 7U);
    RC_ASSERT(service.samples.prefillTokensPerMs.value == 50.5);
    RC_ASSERT(service.samples.prefillTokensPerMs.samples == 3.5);
    RC_ASSERT(service.samples.fetchedTokensPerMs.samples == 0);
    RC_ASSERT(service.samples.residenceMs.value == 2300);
    RC_ASSERT(service.openByLevel == std::vector<double>({4.5, 0, 11}));
    RC_ASSERT(decoded->speeds.front().endpoint == 9U);
    RC_ASSERT(decoded->speeds.front().samples.residenceRatio.value == 2.5);
}

RC_GTEST_PROP(PeerMessage, DecodingArbitraryBytesNeitherThrowsNorCrashes,
              (const std::string &bytes))
{
    (void)decodePeerMessage(bytes);
}

TEST(PeerViews, SumsTheLoadOfAllPeers)
{
    PeerViews views;
    auto first = messageOf("a", 1);
    first.loads = {{9, {2, 100, 1000}}};
    auto second = messageOf("b", 1);
    second.loads = {{9, {3, 0, 500}}};
    EXPECT_TRUE(views.applyMessage(first, Start));
    EXPECT_TRUE(views.applyMessage(second, Start));
    views.refresh(Start, 2);
    EXPECT_DOUBLE_EQ(views.reportedLoadOn(9).openRequests, 5);
    EXPECT_DOUBLE_EQ(views.reportedLoadOn(9).heldTokens, 1500);
    EXPECT_DOUBLE_EQ(views.reportedLoadOn(8).openRequests, 0);
    EXPECT_DOUBLE_EQ(views.silentPeersPerReporter(), 0);
}

TEST(PeerViews, IgnoresAMessageOlderThanTheLastOne)
{
    PeerViews views;
    EXPECT_TRUE(views.applyMessage(messageOf("a", 2), Start));
    EXPECT_FALSE(views.applyMessage(messageOf("a", 1), Start));
    auto restarted = messageOf("a", 1);
    restarted.incarnation = 2;
    EXPECT_TRUE(views.applyMessage(restarted, Start));
}

TEST(PeerViews, EngineStopsLoadingAtItsDeadlineOrWhenItsPeerReportsSo)
{
    PeerViews views;
    auto loading = messageOf("a", 1);
    loading.loading = {{9, milliseconds(4000)}};
    views.applyMessage(loading, Start);
    EXPECT_TRUE(views.isLoading(9, Start + seconds(3)));
    EXPECT_FALSE(views.isLoading(9, Start + seconds(5)));
    views.applyMessage(messageOf("a", 2), Start + seconds(1));
    EXPECT_FALSE(views.isLoading(9, Start + seconds(1)));
}

TEST(PeerViews, DropsUnresponsiveAndLeavingPeers)
{
    PeerViews views;
    views.applyMessage(messageOf("a", 1), Start);
    views.applyMessage(messageOf("b", 1), Start);
    auto leaving = messageOf("b", 2);
    leaving.leaving = true;
    views.applyMessage(leaving, Start);
    EXPECT_EQ(views.liveCount(), 1U);
    views.refresh(Start + seconds(10), 2);
    EXPECT_EQ(views.liveCount(), 0U);
}

TEST(PeerViews, AnUpdateOfADepartedPeerDoesNotMakeItLive)
{
    PeerViews views;
    views.applyMessage(messageOf("a", 1), Start);
    auto leaving = messageOf("a", 2);
    leaving.leaving = true;
    views.applyMessage(leaving, Start);
    views.applyLoading("a", {{9, milliseconds(4000)}}, Start);
    EXPECT_EQ(views.liveCount(), 0U);
    EXPECT_TRUE(views.isLoading(9, Start + seconds(3)));
}

// In a large fleet, a router hears messages of few peers, but updates of the lowest ranks. If it
// took itself for the first candidate for want of messages, dozens of routers would read the lease.
TEST(PeerViews, SendersOfUpdatesAreLeaderCandidatesUntilTheyLeave)
{
    PeerViews unheard;
    const auto lowest = unheard.leaderCandidates("a").front();
    PeerViews views;
    for (const char *name : {"b", "c", "d", "e"})
        views.applyLoading(name, {}, Start);
    views.refresh(Start + seconds(1), 4);
    EXPECT_EQ(lowest, "a");
    PeerViews live;
    for (const char *name : {"b", "c", "d", "e"})
        live.applyMessage(messageOf(name, 1), Start);
    EXPECT_EQ(views.leaderCandidates("a"), live.leaderCandidates("a"));

    const std::string first = views.leaderCandidates("a").front();
    ASSERT_NE(first, "a");
    auto leaving = messageOf(first, 2);
    leaving.leaving = true;
    views.applyMessage(leaving, Start + seconds(1));
    views.applyLoading(first, {}, Start + seconds(1));
    views.refresh(Start + seconds(1), 4);
    EXPECT_NE(views.leaderCandidates("a").front(), first);
    views.refresh(Start + seconds(10), 4);
    EXPECT_EQ(views.leaderCandidates("a"), std::vector<std::string>{"a"});
}

TEST(PeerViews, LoadingEnginesOutlastTheReportingPeersView)
{
    PeerViews views;
    views.applyLoading("a", {{9, milliseconds(8000)}}, Start);
    views.refresh(Start + seconds(5), 1);
    EXPECT_TRUE(views.isLoading(9, Start + seconds(6)));
    EXPECT_FALSE(views.isLoading(9, Start + seconds(9)));
}

TEST(PeerViews, AllRoutersComputeTheSameCandidates)
{
    PeerViews ofA;
    PeerViews ofB;
    for (const char *name : {"b", "c", "d"})
        ofA.applyMessage(messageOf(name, 1), Start);
    for (const char *name : {"a", "c", "d"})
        ofB.applyMessage(messageOf(name, 1), Start);
    EXPECT_EQ(ofA.leaderCandidates("a"), ofB.leaderCandidates("b"));
}

} // namespace almondmill::test
