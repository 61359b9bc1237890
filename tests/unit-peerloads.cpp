// Load of the other routers when only some of them have reported: the pattern of a large fleet, in
// which each router hears from a peer every 20 seconds or more.

#include "almondmill/forward/peerloads.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/peers/peerviews.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

constexpr SteadyTime Start{std::chrono::hours(1)};

class PeerLoadsTest : public testing::Test
{
protected:
    void addEndpoint(const std::string &id, const std::string &service)
    {
        Registration entry;
        entry.id = id;
        entry.service = service;
        entry.address = "127.0.0.1:8000";
        endpoints.changed({id, &entry});
    }

    void report(const std::string &peer, const std::string &endpoint, const EndpointLoad &load)
    {
        PeerMessage message;
        message.sender = peer;
        message.incarnation = 1;
        message.sequence = 1;
        message.loads = {{shortHash(endpoint), load}};
        peers.applyMessage(message, Start);
    }

    EndpointLoad estimateOf(const std::string &endpoint, std::size_t knownPeers)
    {
        peers.refresh(Start, knownPeers);
        estimatePeerLoads(endpoints, peers);
        return endpoints.find(endpoint)->peerLoad();
    }

    EndpointViews endpoints;
    PeerViews peers;
};

} // namespace

TEST_F(PeerLoadsTest, ReportsOfAllPeersAreTakenAsTheyAre)
{
    addEndpoint("e1", "s");
    addEndpoint("e2", "s");
    report("a", "e1", {2, 100, 1000});
    report("b", "e1", {1, 50, 500});
    EXPECT_DOUBLE_EQ(estimateOf("e1", 2).openRequests, 3);
    EXPECT_DOUBLE_EQ(estimateOf("e1", 2).pendingPrefillTokens, 150);
    EXPECT_DOUBLE_EQ(estimateOf("e2", 2).openRequests, 0);
}

TEST_F(PeerLoadsTest, SilentPeersCountWithTheAverageOfTheReports)
{
    addEndpoint("e1", "s");
    report("a", "e1", {2, 100, 1000});
    EXPECT_DOUBLE_EQ(estimateOf("e1", 10).openRequests, 20);
    EXPECT_DOUBLE_EQ(estimateOf("e1", 10).heldTokens, 10000);
}

TEST_F(PeerLoadsTest, OneRequestOfAReporterIsNotMultipliedAtItsEngine)
{
    constexpr std::size_t Engines = 160;
    constexpr std::size_t KnownPeers = 294;
    for (std::size_t engine = 0; engine < Engines; ++engine)
        addEndpoint("e" + std::to_string(engine), "models");
    for (int peer = 0; peer < 42; ++peer)
        report("p" + std::to_string(peer), "e" + std::to_string(peer), {1, 9000, 9000});
    const EndpointLoad busy = estimateOf("e0", KnownPeers);
    const EndpointLoad other = estimateOf("e159", KnownPeers);
    EXPECT_DOUBLE_EQ(busy.openRequests - other.openRequests, 1);
    EXPECT_NEAR(other.openRequests, 252.0 / Engines, 1e-9);
}

TEST_F(PeerLoadsTest, LoadOfOneServiceDoesNotCountForAnother)
{
    addEndpoint("e1", "models");
    addEndpoint("d1", "desk");
    report("a", "e1", {5, 0, 0});
    EXPECT_DOUBLE_EQ(estimateOf("d1", 10).openRequests, 0);
}

} // namespace almondmill::test
