// Guards the sharing of prompt part locations in a large fleet against messages that grow with the
// fleet, as those of a broadcast do.

#include "almondmill/forward/partlocations.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/keyowners.h"
#include "almondmill/peers/partlookupmessages.h"
#include "almondmill/peers/partlookups.h"
#include "almondmill/peers/placementbroadcastqueue.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Now{std::chrono::hours(1)};
constexpr std::size_t FleetSize = 320;

/// Bytes that IP and UDP add to a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;

std::string nameOf(std::size_t router)
{
    return "front-" + std::to_string(router);
}

KeyOwners ownersInFleet(std::size_t routers)
{
    KeyOwners owners;
    for (std::size_t router = 0; router < routers; ++router)
        owners.addRouter(nameOf(router));
    return owners;
}

/// Routers that exchange datagrams without loss, except with those that are stopped.
class LookupFleet
{
public:
    explicit LookupFleet(std::size_t routers)
    {
        for (std::size_t router = 0; router < routers; ++router)
            m_routers.push_back(std::make_unique<Router>(m_loop, m_metrics));
        for (std::size_t router = 0; router < routers; ++router)
            connect(router);
    }

    PartLookups &lookups(std::size_t router) { return m_routers[router]->lookups; }
    PartLocations &locations(std::size_t router) { return m_routers[router]->locations; }
    void stop(const std::string &name) { m_stopped.insert(name); }
    std::size_t sentBytes() const { return m_sentBytes; }
    std::size_t bytesSentBy(std::size_t router) const { return m_routers[router]->sentBytes; }

    /// Records a placement at a router as a send does, and reports it.
    void place(std::size_t router, const PartPlacement &placement)
    {
        locations(router).recordPlacement(placement, 0, milliseconds(0), steadyNow());
        lookups(router).report(placement);
    }

    /// Looks the part up at a router. Returns its location there afterwards.
    const PartLocations::Location *lookUp(std::size_t router, PartKey part)
    {
        boost::asio::co_spawn(m_loop, lookups(router).lookUp(part), boost::asio::detached);
        m_loop.restart();
        m_loop.run();
        return locations(router).find(part);
    }

private:
    struct Router
    {
        Router(boost::asio::io_context &loop, Metrics &metrics)
            : lookups(loop, locations, metrics)
        {}

        PartLocations locations;
        PartLookups lookups;
        std::size_t sentBytes = 0;
    };

    static SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

    void connect(std::size_t router)
    {
        lookups(router).start(
                nameOf(router), [this, router](const std::string &to, std::string_view bytes) {
                    m_routers[router]->sentBytes += bytes.size() + DatagramHeaderBytes;
                    m_sentBytes += bytes.size() + DatagramHeaderBytes;
                    if (m_stopped.count(to) == 0)
                        boost::asio::post(m_loop, [this, router, to, copy = std::string(bytes)] {
                            receive(std::stoul(to.substr(to.find('-') + 1)), router, copy);
                        });
                });
        for (std::size_t other = 0; other < m_routers.size(); ++other) {
            if (other != router)
                lookups(router).addRouter(nameOf(other));
        }
    }

    void receive(std::size_t router, std::size_t from, const std::string &bytes)
    {
        if (const auto placements = decodePlacements(bytes)) {
            for (const BroadcastPlacement &entry : *placements)
                locations(router).recordPlacement(entry.placement, 0, milliseconds(0), steadyNow());
        } else if (const auto request = decodePartLookupRequest(bytes)) {
            const std::string reply =
                    encodePartLookup(lookups(router).answer(*request), steadyNow());
            m_routers[router]->sentBytes += reply.size() + DatagramHeaderBytes;
            m_sentBytes += reply.size() + DatagramHeaderBytes;
            receive(from, router, reply);
        } else if (const auto reply = decodePartLookupReply(bytes, steadyNow())) {
            lookups(router).handleReply(*reply, steadyNow());
        }
    }

    boost::asio::io_context m_loop;
    Metrics m_metrics;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::set<std::string> m_stopped;
    std::size_t m_sentBytes = 0;
};

} // namespace

TEST(KeyOwners, RoutersThatLearnTheFleetInAnyOrderAgree)
{
    KeyOwners one;
    KeyOwners other;
    for (std::size_t router = 0; router < FleetSize; ++router) {
        one.addRouter(nameOf(router));
        other.addRouter(nameOf(FleetSize - 1 - router));
    }
    for (PartKey part = 0; part < 1000; ++part)
        EXPECT_EQ(one.ownersOf(part), other.ownersOf(part));
}

TEST(KeyOwners, PartsAreSpreadOverTheFleet)
{
    constexpr PartKey Parts = 32000;
    constexpr std::size_t Share = Parts / FleetSize;
    const KeyOwners owners = ownersInFleet(FleetSize);
    std::map<std::string, std::size_t> counts;
    for (PartKey part = 0; part < Parts; ++part)
        ++counts[owners.ownersOf(part).front()];
    EXPECT_EQ(counts.size(), FleetSize);
    for (const auto &[name, count] : counts)
        EXPECT_LT(count, 2 * Share) << name;
}

TEST(KeyOwners, AnOwnerThatDoesNotAnswerIsPassedOverForAWhile)
{
    KeyOwners owners = ownersInFleet(FleetSize);
    const auto [first, second] = owners.ownersOf(7);
    EXPECT_EQ(owners.ownerToAsk(7, Now), first);
    owners.recordUnanswered(first, Now);
    EXPECT_EQ(owners.ownerToAsk(7, Now + seconds(1)), second);
    owners.recordUnanswered(second, Now + seconds(1));
    EXPECT_EQ(owners.ownerToAsk(7, Now + seconds(2)), std::nullopt);
    EXPECT_EQ(owners.ownerToAsk(7, Now + seconds(10)), first);
}

TEST(KeyOwners, AFleetOfOneHasOneOwner)
{
    const KeyOwners owners = ownersInFleet(1);
    EXPECT_EQ(owners.ownersOf(7).front(), nameOf(0));
    EXPECT_TRUE(owners.ownersOf(7).back().empty());
}

RC_GTEST_PROP(PartLookupMessages, RoundTripThroughEncoding, ())
{
    const auto relativeTime = [] {
        return milliseconds(*rc::gen::inRange<int>(-3'000'000, 3'000'000));
    };
    PartLookupReply reply{*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<PartKey>(), {}};
    if (*rc::gen::arbitrary<bool>()) {
        reply.location.emplace();
        reply.location->current = {3, Now + relativeTime(), Now - milliseconds(20)};
        if (*rc::gen::arbitrary<bool>())
            reply.location->previous = {4, Now + relativeTime(), Now - milliseconds(900)};
        if (*rc::gen::arbitrary<bool>())
            reply.location->saved = {5, Now + relativeTime()};
    }
    // The receiver's clock differs from that of the sender.
    const seconds offset(77);
    const auto decoded = decodePartLookupReply(encodePartLookup(reply, Now), Now + offset);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->id == reply.id);
    RC_ASSERT(decoded->part == reply.part);
    RC_ASSERT(decoded->location.has_value() == reply.location.has_value());
    if (!reply.location)
        return;
    RC_ASSERT(decoded->location->current.endpoint == 3U);
    RC_ASSERT(decoded->location->current.availableAt
              == reply.location->current.availableAt + offset);
    RC_ASSERT(decoded->location->previous.has_value() == reply.location->previous.has_value());
    RC_ASSERT(decoded->location->saved.has_value() == reply.location->saved.has_value());
}

RC_GTEST_PROP(PartLookupMessages, DecodingArbitraryBytesNeitherThrowsNorCrashes,
              (const std::string &bytes))
{
    (void)decodePartLookupRequest(bytes);
    (void)decodePartLookupReply(bytes, Now);
}

TEST(PartLookups, APartPlacedByOneRouterIsFoundByAnother)
{
    LookupFleet fleet(FleetSize);
    fleet.place(5, {7, 90, true});
    const auto *found = fleet.lookUp(200, 7);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->current.endpoint, 90U);
    EXPECT_TRUE(found->saved.has_value());
}

TEST(PartLookups, AnUnknownPartStaysUnknown)
{
    LookupFleet fleet(FleetSize);
    EXPECT_EQ(fleet.lookUp(200, 7), nullptr);
}

TEST(PartLookups, TheSecondOwnerIsAskedWhenTheFirstDoesNotAnswer)
{
    LookupFleet fleet(FleetSize);
    fleet.place(5, {7, 90, false});
    fleet.stop(ownersInFleet(FleetSize).ownersOf(7).front());
    EXPECT_EQ(fleet.lookUp(200, 7), nullptr);
    const auto *found = fleet.lookUp(200, 7);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->current.endpoint, 90U);
}

TEST(PartLookups, ARouterThatKnowsOfALaterUseKeepsIt)
{
    PartLocations locations;
    locations.recordPlacement({7, 90, false}, 0, milliseconds(0), Now);
    PartLocations::Location reported;
    reported.current = {80, Now, Now - seconds(1)};
    locations.recordReported(7, reported, Now);
    EXPECT_EQ(locations.find(7)->current.endpoint, 90U);
    reported.current.lastUsedAt = Now + seconds(1);
    locations.recordReported(7, reported, Now + seconds(1));
    EXPECT_EQ(locations.find(7)->current.endpoint, 80U);
}

// 320 routers that place 800 prompts a second, each with a long shared part, for two seconds.
TEST(PartLookups, BytesOfARouterStayWithinItsBoundAt320Routers)
{
    constexpr std::size_t Prompts = 1600;
    constexpr std::size_t Duration = 2;
    constexpr std::size_t MaxBytesPerSecond = 1000; // Half of 2 KB; the rest is for state messages.
    LookupFleet fleet(FleetSize);
    std::mt19937 random(1);
    for (PartKey prompt = 0; prompt < Prompts; ++prompt) {
        const std::size_t router = random() % FleetSize;
        const PartKey part = prompt % (Prompts / 2);
        fleet.lookUp(router, part);
        fleet.place(router, {part, 90, true});
    }
    EXPECT_LT(fleet.sentBytes() / FleetSize / Duration, MaxBytesPerSecond / 2);
    for (std::size_t router = 0; router < FleetSize; ++router)
        EXPECT_LT(fleet.bytesSentBy(router) / Duration, MaxBytesPerSecond) << nameOf(router);
}

} // namespace almondmill::test
