// Guards the bound of 2 KB/s for the control traffic of a router: messages of the kinds that are
// sent all the time, encoded as routers send them, at the target's load and with lost ones left
// out. docs/design/control-traffic.md has the formulas.

#include "almondmill/kernel/hash.h"
#include "almondmill/peers/partlookupmessages.h"
#include "almondmill/peers/peermessage.h"
#include "almondmill/peers/placementbroadcastqueue.h"
#include "almondmill/peers/ratelimitmessage.h"
#include "almondmill/peers/storeupdate.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

#include <algorithm>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Now{std::chrono::hours(1)};

/// Control traffic that a router may send each second.
constexpr double BytesPerSecond = 2048;

/// Bytes that IP and UDP add to a datagram.
constexpr double HeaderBytes = 28;

/// As in PeerExchange, PartLookups and RegistrationsSync.
constexpr std::size_t MaxBroadcastRouters = 128;
constexpr double RoundsPerSecond = 4;
constexpr double PeersPerRound = 3;
constexpr std::size_t MaxLoadsPerMessage = 60;
constexpr std::size_t MaxDeltasPerUpdate = 48;
constexpr double UpdatesPerSecond = 2 * 2.0; ///< Two readers, twice a second.

/// Prompts of a router are open for about a second, each at another endpoint.
constexpr double TargetPromptsPerRouter = 4800.0 / 320;
constexpr double QuotesPromptsPerRouter = 457.0 / 114;

/// Each endpoint changes its entry twice a minute, when it begins to load weights and afterwards.
constexpr double ChangesPerEndpoint = 1.0 / 30;

struct Fleet
{
    std::size_t routers = 0;
    std::size_t endpoints = 0;
    double promptsPerRouter = TargetPromptsPerRouter;

    bool usesOwners() const { return routers > MaxBroadcastRouters; }
};

std::string engineName(std::size_t number)
{
    return absl::StrCat("engine-", number);
}

Registration engine(std::size_t number)
{
    return {engineName(number),
            milliseconds(1700000000000),
            "assistant",
            "10.20.30.40:8000",
            "region-1-a",
            12,
            false,
            {{"assistant-large", 41}},
            0,
            1000000 + number,
            "v1.2.3"};
}

double stateBytes(const Fleet &fleet)
{
    PeerMessage message;
    message.sender = "router-318";
    message.incarnation = hash64("incarnation");
    message.sequence = 100000;
    message.configuration = 12;
    message.weights = {{{"assistant-large", 41}, milliseconds(30000)}};
    const std::size_t loads =
            std::min({fleet.endpoints, static_cast<std::size_t>(fleet.promptsPerRouter),
                      MaxLoadsPerMessage});
    for (std::size_t number = 0; number < loads; ++number)
        message.loads.push_back({shortHash(engineName(number)), {1.2, 2890, 9100}});
    const double perRound = fleet.usesOwners() ? 1 : PeersPerRound;
    return RoundsPerSecond * perRound
           * (HeaderBytes + static_cast<double>(encodePeerMessage(message).size()));
}

/// Each router receives each update once, so the routers send each as often on average.
double storeUpdateBytes(const Fleet &fleet)
{
    StoreUpdate update;
    update.origin = "router-318";
    update.incarnation = hash64("incarnation");
    update.sequence = 100000;
    update.configuration = 12;
    update.registrations = StoreUpdate::Registrations();
    update.registrations->from = 1000000;
    update.registrations->to = 1000100;
    update.registrations->answeringFor = milliseconds(600000);
    const double empty = static_cast<double>(encodeStoreUpdate(update).size());
    for (std::size_t number = 0; number < MaxDeltasPerUpdate; ++number)
        update.registrations->deltas.push_back(deltaOf(engine(number)));
    const auto full = static_cast<double>(encodeStoreUpdate(update).size());
    EXPECT_LE(full, 1400); // One datagram.
    const double changes = ChangesPerEndpoint * static_cast<double>(fleet.endpoints);
    return UpdatesPerSecond * (HeaderBytes + empty)
           + changes * (full - empty) / static_cast<double>(MaxDeltasPerUpdate);
}

double placementBytes(const Fleet &fleet)
{
    const PartPlacement placement{shortHash("part"), shortHash("engine-1"), false};
    const auto one = static_cast<double>(encodePlacements({{placement, 1}}).size());
    if (!fleet.usesOwners()) {
        // Each router receives each placement once, ten datagrams a second.
        const double placements = fleet.promptsPerRouter * static_cast<double>(fleet.routers);
        const double perPlacement =
                static_cast<double>(encodePlacements({{placement, 1}, {placement, 1}}).size())
                - one;
        return placements * perPlacement + 10 * HeaderBytes;
    }
    const PartLookupRequest request{100000, placement.part};
    PartLookupReply reply{100000, placement.part, PartLocations::Location()};
    const auto asked = static_cast<double>(encodePartLookup(request).size());
    const auto answered = static_cast<double>(encodePartLookup(reply, Now).size());
    return fleet.promptsPerRouter * (2 * (one + HeaderBytes) + asked + answered + 2 * HeaderBytes);
}

double rateLimitBytes(const Fleet &fleet)
{
    RateLimitMessage message;
    for (std::uint64_t number = 0; number < 8; ++number)
        message.reports.push_back({hash64(engineName(number)), {25.0, Now, Now}});
    const double perSecond = fleet.usesOwners() ? 1 : RoundsPerSecond * PeersPerRound;
    return perSecond * (HeaderBytes + static_cast<double>(encodeRateLimits(message, Now).size()));
}

void expectWithinBound(const Fleet &fleet)
{
    const double state = stateBytes(fleet);
    const double updates = storeUpdateBytes(fleet);
    const double placements = placementBytes(fleet);
    const double limits = rateLimitBytes(fleet);
    const std::string sum =
            absl::StrCat("state ", state, " store updates ", updates, " placements and lookups ",
                         placements, " rate limits ", limits);
    testing::Test::RecordProperty("bytes_per_second", sum);
    EXPECT_LE(state + updates + placements + limits, BytesPerSecond) << sum;
}

} // namespace

TEST(ControlTraffic, IsWithinItsBoundAt14Routers)
{
    expectWithinBound({14, 18});
}

TEST(ControlTraffic, IsWithinItsBoundAt114Routers)
{
    expectWithinBound({114, 145, QuotesPromptsPerRouter});
}

TEST(ControlTraffic, IsWithinItsBoundAtTheTarget)
{
    expectWithinBound({320, 660});
}

TEST(ControlTraffic, IsWithinItsBoundWith3000Endpoints)
{
    expectWithinBound({320, 3000});
}

// Guards against store updates that grow with the endpoints again.
TEST(ControlTraffic, StoreUpdatesOf3000EndpointsTakeLessThanTheBound)
{
    EXPECT_LE(storeUpdateBytes({320, 3000}), BytesPerSecond);
}

// Guards against datagrams that receivers cut off, which loses the whole state of a busy router.
TEST(ControlTraffic, AStateMessageFitsIntoADatagram)
{
    PeerMessage message;
    message.sender = std::string(40, 'r');
    message.incarnation = hash64("incarnation");
    message.sequence = hash64("sequence");
    message.weights.assign(10, {{"assistant-large", 41}, milliseconds(30000)});
    for (std::size_t number = 0; number < MaxLoadsPerMessage; ++number)
        message.loads.push_back({shortHash(engineName(number)), {20, 70000, 90000}});
    EXPECT_LE(encodePeerMessage(message).size(), 1400);
}

} // namespace almondmill::test
