// How the routers tell each other where prompt parts are.

#include "almondmill/peers/placementrelay.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace almondmill::test {

namespace {

constexpr std::size_t MostPerMessage = 80;

/// A fleet whose routers take their turns in a random order, without loss.
class Ring
{
public:
    explicit Ring(std::size_t routers)
        : m_relays(routers)
        , m_nextDirection(routers)
        , m_heard(routers)
    {}

    void place(std::size_t router, PartKey part)
    {
        m_relays[router].add({part, 1, false}, m_relays.size());
    }

    /// One turn: the router sends in its next direction.
    void turn(std::size_t router)
    {
        const unsigned directions = PlacementRelay::directionCount(m_relays.size());
        if (directions == 0)
            return;
        const unsigned direction = m_nextDirection[router]++ % directions;
        const std::size_t target = PlacementRelay::target(router, direction, m_relays.size());
        for (const RelayedPlacement &relayed : m_relays[router].take(direction, MostPerMessage)) {
            ++m_sent;
            ++m_heard[target][relayed.placement.part];
            m_relays[target].relay(relayed);
        }
    }

    std::size_t size() const { return m_relays.size(); }
    std::size_t sent() const { return m_sent; }
    const std::map<PartKey, int> &heard(std::size_t router) const { return m_heard[router]; }

private:
    std::vector<PlacementRelay> m_relays;
    std::vector<unsigned> m_nextDirection;
    std::vector<std::map<PartKey, int>> m_heard;
    std::size_t m_sent = 0;
};

} // namespace

RC_GTEST_PROP(PlacementRelay, ReachesEveryRouterInAnyOrderOfTurns, ())
{
    Ring ring(*rc::gen::inRange<std::size_t>(1, 60));
    const std::size_t origin = *rc::gen::inRange<std::size_t>(0, ring.size());
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    ring.place(origin, 7);
    const unsigned directions = PlacementRelay::directionCount(ring.size());
    std::vector<std::size_t> order(ring.size());
    for (std::size_t router = 0; router < ring.size(); ++router)
        order[router] = router;
    // Each router takes one turn in each direction for each hop there may be.
    for (unsigned round = 0; round < directions * (directions + 1); ++round) {
        std::shuffle(order.begin(), order.end(), random);
        for (const std::size_t router : order)
            ring.turn(router);
    }
    for (std::size_t router = 0; router < ring.size(); ++router)
        RC_ASSERT(router == origin || ring.heard(router).contains(7));
    // A ring that is no power of two is covered by less than two of the next power.
    RC_ASSERT(ring.sent() <= 2 * ring.size());
}

TEST(PlacementRelay, IsKnownEverywhereWithinTwoRoundsInAFleetOf121)
{
    Ring ring(121);
    const unsigned directions = PlacementRelay::directionCount(ring.size());
    EXPECT_EQ(directions, 7U);
    ring.place(17, 7);
    for (unsigned turn = 0; turn < 2 * directions; ++turn) {
        for (std::size_t router = 0; router < ring.size(); ++router)
            ring.turn(router);
    }
    std::size_t know = 0;
    for (std::size_t router = 0; router < ring.size(); ++router)
        know += ring.heard(router).contains(7) ? 1 : 0;
    EXPECT_GE(know, 120U);
}

TEST(PlacementRelay, OneMessageHoldsABoundedNumberAndTheRestFollows)
{
    PlacementRelay relay;
    for (PartKey part = 0; part < 100; ++part)
        relay.add({part, 1, false}, 2);
    EXPECT_EQ(relay.take(0, 80).size(), 80U);
    const auto rest = relay.take(0, 80);
    ASSERT_EQ(rest.size(), 20U);
    EXPECT_EQ(rest.back().placement.part, 99U);
    EXPECT_TRUE(relay.take(0, 80).empty());
}

TEST(PlacementRelay, TheOldestGiveWay)
{
    PlacementRelay relay;
    constexpr PartKey Placements = 5000;
    for (PartKey part = 0; part < Placements; ++part)
        relay.add({part, 1, false}, 2);
    const auto waiting = relay.take(0, Placements);
    EXPECT_LT(waiting.size(), Placements / 2);
    EXPECT_EQ(waiting.back().placement.part, Placements - 1);
}

TEST(PlacementRelay, ALoneRouterTellsNobody)
{
    PlacementRelay relay;
    relay.add({1, 1, false}, 1);
    EXPECT_TRUE(relay.take(0, 80).empty());
}

RC_GTEST_PROP(PlacementRelay, SurvivesItsEncoding, ())
{
    const std::vector<RelayedPlacement> placements{
            {{*rc::gen::arbitrary<PartKey>(), *rc::gen::arbitrary<std::uint32_t>(), true}, 5},
            {{1, 2, false}, 0}};
    const auto decoded = decodePlacements(encodePlacements(placements));
    RC_ASSERT(decoded && decoded->size() == 2U);
    RC_ASSERT(decoded->front().placement.part == placements.front().placement.part);
    RC_ASSERT(decoded->front().placement.endpoint == placements.front().placement.endpoint);
    RC_ASSERT(decoded->front().placement.saved);
    RC_ASSERT(decoded->front().directions == 5U);
}

RC_GTEST_PROP(PlacementRelay, OtherBytesAreNoMessage, (const std::string &bytes))
{
    (void)decodePlacements(bytes); // Must not throw or crash.
}

} // namespace almondmill::test
