#include "almondmill/admission/ratelimiter.h"
#include "almondmill/config/configuration.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/fleet/placementpeers.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"

#include <gtest/gtest.h>

namespace almondmill {

namespace {

const SteadyTime Start(std::chrono::hours(1));

Endpoint makeEndpoint(const std::string &name)
{
    Endpoint endpoint;
    endpoint.name = name;
    endpoint.address = "127.0.0.1:1";
    endpoint.dataCentre = "dc";
    endpoint.model = "model";
    return endpoint;
}

/// Incarnation of the endpoint caches that the owner's advice refers to.
const std::uint64_t FirstIncarnation = EndpointState::cacheIncarnationOf(1, 0);

std::shared_ptr<const Configuration> makeConfiguration(const std::string &policy)
{
    Inventory inventory;
    inventory.dataCentres.push_back({"dc", "region"});
    inventory.models.push_back({"model", "w1"});
    for (int i = 0; i < 6; ++i)
        inventory.endpoints.push_back(makeEndpoint("e" + std::to_string(i)));
    Rules rules;
    rules.placementPolicy = policy;
    return std::make_shared<const Configuration>(1, inventory, rules);
}

class FakeMembers : public MemberView
{
public:
    std::shared_ptr<const std::vector<Member>> members() const override { return m_all; }
    const std::string &self() const override { return m_self; }

private:
    std::shared_ptr<const std::vector<Member>> m_all = std::make_shared<const std::vector<Member>>(
            std::vector<Member>{{"127.0.0.1:7", "dc", 1, 1, false}});
    std::string m_self = "127.0.0.2:7";
};

class FakePeers : public PlacementPeers
{
public:
    std::optional<PlacementAdvice> ask(const std::string & /*peer*/,
                                       const PlacementQuery & /*query*/,
                                       std::chrono::milliseconds timeout) override
    {
        ++asked;
        lastTimeout = timeout;
        return advice;
    }

    std::optional<PlacementAdvice> advice;
    int asked = 0;
    std::chrono::milliseconds lastTimeout{0};
};

class PlacerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_node.members = &m_members;
        m_node.placementPeers = &m_peers;
        m_node.endpoints.apply(makeConfiguration("owner"));
        m_endpoints = m_node.endpoints.snapshot();
        for (const auto &state : m_endpoints->all())
            state->setIncarnation(1);
        m_request.prefixKeys = {11, 12, 13};
        m_request.dataCentre = "dc";
        m_request.model = "model";
        m_request.configuration = &m_endpoints->configuration();
    }

    EndpointSet::StatePointer choose(SteadyTime now)
    {
        return m_placer.choose(m_request, m_endpoints->all(), {}, now);
    }

    /// The choice of a router that gets no answer from the prefix owner.
    std::string chooseAlone()
    {
        Placer other(m_node, m_node.metrics);
        FakePeers unresponsive;
        m_node.placementPeers = &unresponsive;
        const auto state = other.choose(m_request, m_endpoints->all(), {}, Start);
        m_node.placementPeers = &m_peers;
        return state->endpoint().name;
    }

    static std::string otherEndpointThan(const std::string &name)
    {
        return name == "e4" ? "e5" : "e4";
    }

    static Settings settings()
    {
        Settings settings;
        settings.dataCentre = "dc";
        return settings;
    }

    Node m_node{settings()};
    FakeMembers m_members;
    FakePeers m_peers;
    Placer m_placer{m_node, m_node.metrics};
    std::shared_ptr<const EndpointSet> m_endpoints;
    PlacementRequest m_request;
};

} // namespace

TEST_F(PlacerTest, FollowsTheOwnersAdvice)
{
    m_peers.advice = PlacementAdvice{"e4", FirstIncarnation, 2, std::chrono::milliseconds(50)};
    EXPECT_EQ(choose(Start)->endpoint().name, "e4");
    EXPECT_LE(m_peers.lastTimeout, std::chrono::milliseconds(5));
}

TEST_F(PlacerTest, DoesNotQueryAgainBeforeTheAdviceExpires)
{
    m_peers.advice = PlacementAdvice{"e4", FirstIncarnation, 2, std::chrono::milliseconds(50)};
    choose(Start);
    EXPECT_EQ(choose(Start + std::chrono::milliseconds(49))->endpoint().name, "e4");
    EXPECT_EQ(m_peers.asked, 1);
    choose(Start + std::chrono::milliseconds(50));
    EXPECT_EQ(m_peers.asked, 2);
}

TEST_F(PlacerTest, IgnoresAdviceForAnEarlierIncarnation)
{
    const std::string alone = chooseAlone();
    m_peers.advice = PlacementAdvice{otherEndpointThan(alone), FirstIncarnation, 2,
                                     std::chrono::milliseconds(50)};
    for (const auto &state : m_endpoints->all())
        state->setIncarnation(2);
    EXPECT_EQ(choose(Start + std::chrono::seconds(1))->endpoint().name, alone);
}

TEST_F(PlacerTest, IgnoresAdviceForEarlierWeights)
{
    const std::string alone = chooseAlone();
    m_peers.advice = PlacementAdvice{otherEndpointThan(alone), FirstIncarnation, 2,
                                     std::chrono::milliseconds(50)};
    for (const auto &state : m_endpoints->all())
        state->setWeightsHash(hash64("w2"));
    EXPECT_EQ(choose(Start + std::chrono::seconds(1))->endpoint().name, alone);
}

TEST_F(PlacerTest, DecidesAloneWhenTheOwnerDoesNotAnswerAndRetriesAfterASecond)
{
    EXPECT_NE(choose(Start), nullptr);
    EXPECT_NE(choose(Start + std::chrono::milliseconds(999)), nullptr);
    EXPECT_EQ(m_peers.asked, 1);
    choose(Start + std::chrono::milliseconds(1001));
    EXPECT_EQ(m_peers.asked, 2);
}

TEST_F(PlacerTest, NeverTakesALeavingEndpointThatTheOwnerAdvises)
{
    m_peers.advice = PlacementAdvice{"e4", FirstIncarnation, 2, std::chrono::milliseconds(50)};
    m_endpoints->all()[4]->setLeaving(true);
    EXPECT_NE(choose(Start)->endpoint().name, "e4");
}

TEST_F(PlacerTest, LooksUpWithinTheBudgetOfBytes)
{
    m_peers.advice = PlacementAdvice{"e4", FirstIncarnation, 2, std::chrono::milliseconds(0)};
    for (int i = 0; i < 15 * 60; ++i) {
        m_request.prefixKeys = {11, mixHash(static_cast<std::uint64_t>(i % 40), 1), 13};
        choose(Start + i * std::chrono::milliseconds(1000) / 15);
    }
    const auto bytes = m_node.metrics.counter("almondmill_placement_lookup_bytes_total").value();
    EXPECT_LE(bytes, 1200U * 63U); // 1200 bytes/s for 60 s, and a burst of 3 s
    EXPECT_GT(m_peers.asked, 60);
}

TEST_F(PlacerTest, FollowsThePolicyOfTheRequestsOwnConfiguration)
{
    const auto configuration = makeConfiguration("rendezvous");
    m_request.configuration = configuration.get();
    EXPECT_NE(choose(Start), nullptr);
    EXPECT_EQ(m_peers.asked, 0);
}

TEST_F(PlacerTest, EndpointsWithOtherWeightsTakeWorkWhileWeightsAreChanged)
{
    for (const auto &state : m_endpoints->all())
        state->setWeightsHash(hash64("w0"));
    EXPECT_NE(choose(Start), nullptr);
}

TEST_F(PlacerTest, UnreachableEndpointsAreChosenWhenNoOtherIsLeft)
{
    for (const auto &state : m_endpoints->all())
        state->setUnreachable(true);
    for (std::size_t i = 1; i < m_endpoints->all().size(); ++i)
        m_endpoints->all()[i]->setLeaving(true);
    const auto chosen = choose(Start);
    ASSERT_NE(chosen, nullptr);
    EXPECT_EQ(chosen->endpoint().name, "e0");
}

TEST_F(PlacerTest, AnOwnerAdvisesAnEndpointThatTakesWork)
{
    const PlacementQuery query{{11, 12, 13}, "model", Priority::High, {"e0", "e1", "e2"}};
    m_endpoints->all()[3]->setLeaving(true);
    for (int i = 0; i < 20; ++i) {
        const std::string name = m_placer.advise(query, Start).endpoint;
        EXPECT_TRUE(name == "e4" || name == "e5") << name;
    }
}

TEST(SharedPrefixes, TheLevelIsBelowTheBranchingWhoseBranchesRecur)
{
    SharedPrefixes shared(1024);
    SharedPrefixes::Level level;
    for (std::uint64_t i = 0; i < 200; ++i) {
        const std::uint64_t history = 100 + i % 5;
        const std::array<std::uint64_t, 4> keys{1, history, 1000 + history, 100000 + i};
        level = shared.record(keys, Start + i * std::chrono::milliseconds(10));
    }
    EXPECT_EQ(level.depth, 2U);
    EXPECT_TRUE(level.shared);
}

TEST(SharedPrefixes, ContinuationsSeenOnceAreNotTheLevel)
{
    SharedPrefixes shared(1024);
    SharedPrefixes::Level level;
    for (std::uint64_t i = 0; i < 200; ++i) {
        const std::array<std::uint64_t, 3> keys{1, 2, 100000 + i};
        level = shared.record(keys, Start + i * std::chrono::milliseconds(10));
    }
    EXPECT_EQ(level.depth, 2U);
}

TEST(SharedPrefixes, PromptsThatDoNotRecurAreNotShared)
{
    SharedPrefixes shared(4096);
    SharedPrefixes::Level level;
    for (std::uint64_t i = 1; i < 200; ++i) {
        const std::array<std::uint64_t, 2> keys{mixHash(i, 1), mixHash(i, 2)};
        level = shared.record(keys, Start + i * std::chrono::milliseconds(10));
    }
    EXPECT_FALSE(level.shared);
}

TEST(ExpectedQueue, AReportReplacesWhatWasPlacedBeforeItWasTaken)
{
    using std::chrono::milliseconds;
    ExpectedQueue queue;
    queue.add(milliseconds(500), Start);
    queue.add(milliseconds(200), Start + milliseconds(300));
    queue.report(milliseconds(50), Start + milliseconds(100));
    EXPECT_EQ(queue.at(Start + milliseconds(300)), milliseconds(50));
    EXPECT_EQ(queue.at(Start + milliseconds(400)), milliseconds(0));
}

TEST(ExpectedQueue, DrainsAsTimePasses)
{
    using std::chrono::milliseconds;
    ExpectedQueue queue;
    queue.add(milliseconds(500), Start);
    EXPECT_EQ(queue.at(Start + milliseconds(200)), milliseconds(300));
    EXPECT_EQ(queue.at(Start + milliseconds(900)), milliseconds(0));
}

TEST(RateLimiter, LimitsToTheRateAndTheBurst)
{
    RateLimiter limiter;
    int taken = 0;
    for (int ms = 0; ms < 10000; ++ms) {
        if (limiter.take(1, 100, std::chrono::milliseconds(500),
                         Start + std::chrono::milliseconds(ms)))
            ++taken;
    }
    EXPECT_GE(taken, 1049);
    EXPECT_LE(taken, 1050);
}

} // namespace almondmill
