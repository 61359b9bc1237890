#include "support/loopback.h"

#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/fleet/configurationpeers.h"
#include "almondmill/fleet/fleetcomponent.h"
#include "almondmill/fleet/placementowner.h"
#include "almondmill/fleet/placementpeers.h"
#include "almondmill/kernel/node.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace almondmill::test {

namespace {

constexpr std::chrono::milliseconds Timeout{5000};
constexpr std::chrono::milliseconds ShortTimeout{200};

class FixedExchange : public ConfigurationExchange
{
public:
    ConfigurationOffer answerPull(std::uint64_t haveVersion,
                                  const std::vector<std::string> &haveParts) override
    {
        EXPECT_EQ(haveVersion, 4U);
        EXPECT_EQ(haveParts, std::vector<std::string>{"p1"});
        return {7, 70, std::string("ro\0ot", 5), {{"p2", std::string("\xff\0x", 3)}}};
    }

    std::uint64_t acceptPush(const ConfigurationOffer &offer) override { return offer.version; }
    void recordPeerVersion(const std::string & /*peer*/, std::uint64_t /*version*/) override {}
};

class FixedOwner : public PlacementOwner
{
public:
    PlacementAdvice advise(const PlacementQuery &query, SteadyTime /*now*/) override
    {
        return {query.model + query.excluded.at(0), query.prefixKeys.at(1),
                query.priority == Priority::Low ? 3U : 0U, std::chrono::milliseconds(40)};
    }
};

Settings settingsOf(const std::string &address)
{
    Settings settings;
    settings.peersListen = address;
    return settings;
}

/// A heartbeat of `sender`, which runs this version and knows the members at these addresses.
Heartbeat heartbeatOf(const std::string &sender, std::uint64_t configVersion,
                      const std::set<std::string> &addresses)
{
    Heartbeat heartbeat;
    heartbeat.sender = sender;
    heartbeat.dataCentre = "a";
    heartbeat.incarnation = 1;
    heartbeat.revision = 1;
    heartbeat.configVersion = configVersion;
    for (const std::string &address : addresses)
        heartbeat.members.push_back({address, "a", 1, 1, configVersion, MemberState::Alive, false});
    return heartbeat;
}

/// Two nodes; calls go from the first to the second, which listens once a test starts it.
class FleetCalls : public testing::Test
{
protected:
    Node m_client{settingsOf(nextLoopbackAddress() + ":7070")};
    Node m_server{settingsOf(nextLoopbackAddress() + ":7070")};
    FleetComponent m_clientFleet{m_client};
    FleetComponent m_serverFleet{m_server};
    const std::string m_peer = m_server.settings.peersListen;
};

} // namespace

TEST_F(FleetCalls, PullsAndPushesAConfigurationByteForByte)
{
    FixedExchange exchange;
    m_server.configurationExchange = &exchange;
    m_serverFleet.start();
    const auto offer = m_client.configurationPeers->pull(m_peer, 4, {"p1"}, Timeout);
    ASSERT_TRUE(offer);
    EXPECT_EQ(offer->version, 7U);
    EXPECT_EQ(offer->storeVersion, 70U);
    EXPECT_EQ(offer->root, std::string("ro\0ot", 5));
    ASSERT_EQ(offer->parts.size(), 1U);
    EXPECT_EQ(offer->parts[0].content, std::string("\xff\0x", 3));
    EXPECT_EQ(m_client.configurationPeers->push(m_peer, *offer, Timeout), 7U);
}

TEST_F(FleetCalls, QueriesTheOwnerOfAPrefix)
{
    FixedOwner owner;
    m_server.placementOwner = &owner;
    m_serverFleet.start();
    const PlacementQuery query{{1, 99}, "reed", Priority::Low, {"-e1"}};
    const auto advice = m_client.placementPeers->ask(m_peer, query, Timeout);
    ASSERT_TRUE(advice);
    EXPECT_EQ(advice->endpoint, "reed-e1");
    EXPECT_EQ(advice->incarnation, 99U);
    EXPECT_EQ(advice->expectedCachedBlocks, 3U);
    EXPECT_EQ(advice->validFor, std::chrono::milliseconds(40));
}

TEST_F(FleetCalls, AnswersEmptyWithoutExchangeOrOwner)
{
    m_serverFleet.start();
    const auto advice = m_client.placementPeers->ask(m_peer, {}, Timeout);
    ASSERT_TRUE(advice);
    EXPECT_TRUE(advice->endpoint.empty());
    const auto offer = m_client.configurationPeers->pull(m_peer, 0, {}, Timeout);
    ASSERT_TRUE(offer);
    EXPECT_EQ(offer->version, 0U);
}

TEST_F(FleetCalls, ReachesAPeerThatStartedAfterAFailedCall)
{
    EXPECT_FALSE(m_client.placementPeers->ask(m_peer, {}, ShortTimeout));
    m_serverFleet.start();
    EXPECT_TRUE(m_client.placementPeers->ask(m_peer, {}, Timeout));
}

// Guards against a report of the members that is read from a view which was replaced and freed
// meanwhile: operators got status 500 without a body, or addresses that no router has.
TEST_F(FleetCalls, AReportOfTheMembersIsThatOfOneView)
{
    constexpr std::size_t Members = 200;
    constexpr std::chrono::milliseconds ReportsLast{3000};
    const std::string sender = nextLoopbackAddress() + ":7070";
    std::set<std::string> known{sender, m_peer};
    while (known.size() < Members)
        known.insert(nextLoopbackAddress() + ":7070");
    m_serverFleet.start();
    std::atomic<bool> isStopping{false};
    std::thread changes([&] {
        for (std::uint64_t version = 1; !isStopping; ++version) {
            m_serverFleet.answerProbe(heartbeatOf(sender, version, known),
                                      std::chrono::steady_clock::now());
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    std::size_t unknown = 0;
    const auto end = std::chrono::steady_clock::now() + ReportsLast;
    while (std::chrono::steady_clock::now() < end) {
        nlohmann::json report;
        m_serverFleet.dump(report);
        for (const auto &member : report["members"])
            unknown += 1 - known.count(member["address"].get<std::string>());
    }
    isStopping = true;
    changes.join();
    EXPECT_EQ(unknown, 0U);
}

} // namespace almondmill::test
