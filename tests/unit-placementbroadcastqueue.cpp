// Tests of the broadcast of prompt part placements between routers.

#include "almondmill/peers/placementbroadcastqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace almondmill::test {

namespace {

constexpr std::size_t MaxPerMessage = 80;

/// A ring of routers that exchange placements without loss. The test decides when each one sends.
class Ring
{
public:
    explicit Ring(std::size_t routers)
        : m_queues(routers)
        , m_nextDirection(routers)
        , m_received(routers)
    {}

    void place(std::size_t router, PartKey part)
    {
        m_queues[router].add({part, 1, false}, m_queues.size());
    }

    /// Sends the queued placements of `router` in its next direction.
    void send(std::size_t router)
    {
        const unsigned directions = PlacementBroadcastQueue::directionCount(m_queues.size());
        if (directions == 0)
            return;
        const unsigned direction = m_nextDirection[router]++ % directions;
        const std::size_t target =
                PlacementBroadcastQueue::target(router, direction, m_queues.size());
        for (const BroadcastPlacement &entry : m_queues[router].take(direction, MaxPerMessage)) {
            ++m_sent;
            ++m_received[target][entry.placement.part];
            m_queues[target].enqueueReceived(entry);
        }
    }

    std::size_t size() const { return m_queues.size(); }
    std::size_t sent() const { return m_sent; }
    const std::map<PartKey, int> &received(std::size_t router) const { return m_received[router]; }

private:
    std::vector<PlacementBroadcastQueue> m_queues;
    std::vector<unsigned> m_nextDirection;
    std::vector<std::map<PartKey, int>> m_received;
    std::size_t m_sent = 0;
};

} // namespace

RC_GTEST_PROP(PlacementBroadcastQueue, ReachesEveryRouterInAnyOrderOfSends, ())
{
    Ring ring(*rc::gen::inRange<std::size_t>(1, 60));
    const std::size_t origin = *rc::gen::inRange<std::size_t>(0, ring.size());
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    ring.place(origin, 7);
    const unsigned directions = PlacementBroadcastQueue::directionCount(ring.size());
    std::vector<std::size_t> order(ring.size());
    for (std::size_t router = 0; router < ring.size(); ++router)
        order[router] = router;
    // Each router sends once in each direction for each possible hop.
    for (unsigned round = 0; round < directions * (directions + 1); ++round) {
        std::shuffle(order.begin(), order.end(), random);
        for (const std::size_t router : order)
            ring.send(router);
    }
    for (std::size_t router = 0; router < ring.size(); ++router)
        RC_ASSERT(router == origin || ring.received(router).contains(7));
    // A ring whose size is not a power of two gets fewer copies than twice its size.
    RC_ASSERT(ring.sent() <= 2 * ring.size());
}

TEST(PlacementBroadcastQueue, ReachesAFleetOf121WithinTwoSendsPerDirection)
{
    Ring ring(121);
    const unsigned directions = PlacementBroadcastQueue::directionCount(ring.size());
    EXPECT_EQ(directions, 7U);
    ring.place(17, 7);
    for (unsigned round = 0; round < 2 * directions; ++round) {
        for (std::size_t router = 0; router < ring.size(); ++router)
            ring.send(router);
    }
    std::size_t reached = 0;
    for (std::size_t router = 0; router < ring.size(); ++router)
        reached += ring.received(router).contains(7) ? 1 : 0;
    EXPECT_GE(reached, 120U);
}

TEST(PlacementBroadcastQueue, MessageSizeIsBoundedAndTheRestFollows)
{
    PlacementBroadcastQueue queue;
    for (PartKey part = 0; part < 100; ++part)
        queue.add({part, 1, false}, 2);
    EXPECT_EQ(queue.take(0, 80).size(), 80U);
    const auto rest = queue.take(0, 80);
    ASSERT_EQ(rest.size(), 20U);
    EXPECT_EQ(rest.back().placement.part, 99U);
    EXPECT_TRUE(queue.take(0, 80).empty());
}

TEST(PlacementBroadcastQueue, DropsTheOldestPlacementsWhenFull)
{
    PlacementBroadcastQueue queue;
    constexpr PartKey Placements = 5000;
    for (PartKey part = 0; part < Placements; ++part)
        queue.add({part, 1, false}, 2);
    const auto queued = queue.take(0, Placements);
    EXPECT_LT(queued.size(), Placements / 2);
    EXPECT_EQ(queued.back().placement.part, Placements - 1);
}

TEST(PlacementBroadcastQueue, ASingleRouterSendsNothing)
{
    PlacementBroadcastQueue queue;
    queue.add({1, 1, false}, 1);
    EXPECT_TRUE(queue.take(0, 80).empty());
}

RC_GTEST_PROP(PlacementBroadcastQueue, RoundTripsThroughEncoding, ())
{
    const std::vector<BroadcastPlacement> placements{
            {{*rc::gen::arbitrary<PartKey>(), *rc::gen::arbitrary<std::uint32_t>(), true}, 5},
            {{1, 2, false}, 0}};
    const auto decoded = decodePlacements(encodePlacements(placements));
    RC_ASSERT(decoded && decoded->size() == 2U);
    RC_ASSERT(decoded->front().placement.part == placements.front().placement.part);
    RC_ASSERT(decoded->front().placement.endpoint == placements.front().placement.endpoint);
    RC_ASSERT(decoded->front().placement.saved);
    RC_ASSERT(decoded->front().directions == 5U);
}

RC_GTEST_PROP(PlacementBroadcastQueue, DecodingArbitraryBytesNeitherThrowsNorCrashes,
              (const std::string &bytes))
{
    (void)decodePlacements(bytes);
}

} // namespace almondmill::test
