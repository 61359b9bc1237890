// Guards the trace of control traffic: a message that is counted under another kind or place, or
// left out of the sums, would hide what a large fleet sends.

#include "almondmill/metrics/metrics.h"
#include "almondmill/metrics/trafficsums.h"
#include "almondmill/peers/partevidencemessage.h"
#include "almondmill/peers/partlookupmessages.h"
#include "almondmill/peers/peermessage.h"
#include "almondmill/peers/peertraffic.h"
#include "almondmill/peers/permitmessages.h"
#include "almondmill/peers/placementbroadcastqueue.h"
#include "almondmill/peers/ratelimitmessage.h"
#include "almondmill/peers/storeupdate.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

constexpr SteadyTime Now{std::chrono::hours(1)};

PeerTraffic::Address addressOf(unsigned char host)
{
    return {boost::asio::ip::address_v4({127, 0, 0, host}), 8103};
}

} // namespace

TEST(PeerMessageKind, IsThatOfEachMessage)
{
    EXPECT_EQ(peekKind(encodePeerMessage({})), PeerMessageKind::State);
    EXPECT_EQ(peekKind(encodeStoreUpdate({})), PeerMessageKind::StoreUpdate);
    EXPECT_EQ(peekKind(encodePlacements(std::vector<BroadcastPlacement>(80))),
              PeerMessageKind::Placement);
    EXPECT_EQ(peekKind(encodePartLookup(PartLookupRequest())), PeerMessageKind::PartLookup);
    EXPECT_EQ(peekKind(encodePartLookup(PartLookupReply(), Now)), PeerMessageKind::PartLookup);
    EXPECT_EQ(peekKind(encodePartEvidence({}, Now)), PeerMessageKind::Evidence);
    EXPECT_EQ(peekKind(encodeRateLimits({}, Now)), PeerMessageKind::RateLimit);
    EXPECT_EQ(peekKind(encodePermit(PermitRequest(), Now)), PeerMessageKind::Permit);
    EXPECT_EQ(peekKind(encodePermit(PermitReply(), Now)), PeerMessageKind::Permit);
    EXPECT_EQ(peekKind(encodePermit(PermitReturn())), PeerMessageKind::Permit);
    for (const char *bytes : {"", "\x83", "\x83\x19", "\x83\x19\x01", "\xa1\x03", "\x83\x1b"})
        EXPECT_EQ(peekKind(bytes), PeerMessageKind::Other);
}

TEST(PeerTraffic, IsCountedByKindDirectionAndPlace)
{
    Metrics metrics;
    TrafficSums sums;
    PeerTraffic traffic("dc-1", metrics, sums);
    traffic.learnDataCentre(addressOf(2), "dc-1");
    traffic.learnDataCentre(addressOf(3), "dc-2");
    using Direction = PeerTraffic::Direction;
    traffic.record(Direction::Sent, PeerMessageKind::State, 100, addressOf(2));
    traffic.record(Direction::Sent, PeerMessageKind::State, 50, addressOf(3));
    traffic.record(Direction::Sent, PeerMessageKind::State, 7, addressOf(4));
    traffic.record(Direction::Received, PeerMessageKind::Permit, 30, addressOf(3));
    const std::string text = metrics.prometheusText();
    for (const char *series : {
                 "bytes_total{kind=\"state\",direction=\"sent\",remote=\"false\"} 100\n",
                 "bytes_total{kind=\"state\",direction=\"sent\",remote=\"true\"} 50\n",
                 "bytes_total{kind=\"state\",direction=\"sent\",remote=\"unknown\"} 7\n",
                 "messages_total{kind=\"permit\",direction=\"received\",remote=\"true\"} 1\n",
         })
        EXPECT_NE(text.find(series), std::string::npos) << series << text;
    EXPECT_EQ(sums.sums().at("state").bytes, 157);
    EXPECT_EQ(sums.sums().at("state").remoteBytes, 50);
    EXPECT_EQ(sums.sums().at("in_permit").messages, 1);
}

TEST(TrafficSums, StartAgainAfterTheirEvent)
{
    TrafficSums sums;
    sums.add("state", 100);
    sums.writeEvent();
    EXPECT_TRUE(sums.sums().empty());
}

} // namespace almondmill::test
