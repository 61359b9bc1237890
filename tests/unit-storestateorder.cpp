// Answers of the store that arrive late, in another order than they were given, or not at all: what
// a router believes afterwards must still be what the store holds.

#include "support/scriptedstore.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/storestatesync.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// An answer that was retransmitted once after a lost packet.
constexpr milliseconds LateAnswer{300};

/// Longest time in which a router learns of a change, with one retransmission.
constexpr milliseconds TimeToLearn{1500};

/// Longest time in which a reader of the store hears of a change of the registrations.
constexpr milliseconds TimeToHear{900};

/// An outage in which entries expire.
constexpr milliseconds Outage{2500};

/// Time after which no entry is kept any more that an outage made expire.
constexpr milliseconds RetentionEnd{3000};

/// Time for which a watch of the registrations waits.
constexpr milliseconds WatchWait{300};

/// Time in which the other routers read a version after the first one reports it.
constexpr milliseconds TimeForOthers{400};

/// A configuration of this version.
std::string configuration(std::uint64_t version)
{
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[{"name":"r","host":"h",)",
                        R"("path_prefix":"/a/","kind":"idempotent","timeout_ms":800,)",
                        R"("target_latency_ms":150,"priority":1,"service":"s","max_attempts":2,)",
                        R"("public":true}],"services":[{"name":"s","health_path":"/health",)",
                        R"("max_connections":100}],"limits":{"max_header_bytes":16384,)",
                        R"("max_body_bytes":4194304,"header_timeout_ms":3000,)",
                        R"("idle_timeout_ms":15000},"tenants":[]})");
}

/// A heartbeat of an endpoint.
std::string heartbeat(std::uint64_t sequence, bool isDraining = false)
{
    return absl::StrCat(R"({"service":"s","address":"127.0.0.1:8000","zone":"dc-1","version":"1",)",
                        R"("slots":4,"state":")", isDraining ? "draining" : "ready",
                        R"(","cold_remaining_ms":0,"sequence":)", sequence,
                        R"(,"born":1700000000000,"models":[]})");
}

/// A router whose name ranks first or last among those that may read the store.
ForwarderSettings settingsOfRank(bool isLast)
{
    constexpr int Candidates = 1000;
    ForwarderSettings settings;
    settings.dataCentre = "dc-1";
    settings.adapter = "rietwerk";
    for (int number = 0; number < Candidates; ++number) {
        const std::string name = absl::StrCat("router-", number);
        const bool isBefore = hash64(name) < hash64(settings.name);
        if (settings.name.empty() || isBefore != isLast)
            settings.name = name;
    }
    return settings;
}

/// A router's view of a store.
class StoreOrderTest : public testing::Test
{
protected:
    /// Starts a router that reads the store, or one that relies on other routers.
    void start(bool isReader)
    {
        context.emplace(loop, settingsOfRank(!isReader),
                        PlatformAdapterRegistry::create("rietwerk"));
        sync.emplace(*context, store, [this](auto registrations) {
            if (registrations)
                published.push_back(std::move(*registrations));
        });
        sync->start();
        loop.run_for(milliseconds(isReader ? 700 : 100));
    }

    /// Delivers the update of a router that the store has answered for a minute.
    void learnFromARouterThatWasAnswered()
    {
        StoreUpdate update;
        update.origin = "another-reader";
        update.registrations =
                StoreUpdate::Registrations{store.revision(), store.revision(), {}, {}};
        update.registrations->answeringFor = milliseconds(60000);
        sync->learn(update);
    }

    /// Runs until a watch of the registrations has just begun.
    void waitForWatchToBegin()
    {
        const std::size_t before = store.watches(ObjectKind::Registrations);
        while (store.watches(ObjectKind::Registrations) == before)
            loop.run_for(milliseconds(5));
    }

    std::uint64_t configurationInForce() const
    {
        const auto table = context->table.snapshot();
        return table ? table->version() : 0;
    }

    bool wasPublishedAsGone(const std::string &id) const
    {
        return std::any_of(published.begin(), published.end(), [&](const auto &update) {
            return std::count(update.gone.begin(), update.gone.end(), id) != 0;
        });
    }

    bool wasPublishedAsDraining(const std::string &id) const
    {
        return std::any_of(published.begin(), published.end(), [&](const auto &update) {
            return std::any_of(update.deltas.begin(), update.deltas.end(), [&](const auto &delta) {
                return delta.endpoint == shortHash(id) && delta.draining;
            });
        });
    }

    boost::asio::io_context loop;
    ScriptedStore store{loop};
    std::optional<ForwardingContext> context;
    std::vector<StoreUpdate::Registrations> published; ///< Updates for the other routers.
    std::optional<StoreStateSync> sync;
};

} // namespace

// Guards against a version that is taken as missing in the store, and never read, because it was
// reported while a list with the version before was on its way.
TEST_F(StoreOrderTest, AVersionReportedDuringAReadIsReadAfterIt)
{
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(7));
    start(false);
    ASSERT_EQ(configurationInForce(), 7U);
    store.delayAnswers(ObjectKind::RoutingConfiguration, LateAnswer);
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(8));
    sync->learnConfigurationVersion(8);
    loop.run_for(milliseconds(80));
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(9));
    sync->learnConfigurationVersion(9);
    loop.run_for(TimeToLearn);
    EXPECT_EQ(configurationInForce(), 9U);
}

// Guards against an endpoint that has left and is added again, for as long as the router runs, by
// an answer of the store that is older than another router's update.
TEST_F(StoreOrderTest, ALateAnswerDoesNotBringBackAnEndpointThatHasLeft)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    store.write(ObjectKind::Registrations, "desk-2", heartbeat(1));
    start(true);
    ASSERT_NE(context->directory.find("desk-2"), nullptr);
    const std::uint64_t known = context->directory.revision();
    store.delayAnswers(ObjectKind::Registrations, LateAnswer);
    store.write(ObjectKind::Registrations, "desk-2", heartbeat(2));
    loop.run_for(milliseconds(250)); // The watch has begun, and its answer is on its way.
    store.remove(ObjectKind::Registrations, "desk-2");
    StoreUpdate update;
    update.origin = "another-reader";
    update.registrations = StoreUpdate::Registrations{known, store.revision(), {}, {"desk-2"}};
    sync->learn(update);
    ASSERT_EQ(context->directory.find("desk-2"), nullptr);
    loop.run_for(TimeToLearn);
    EXPECT_EQ(context->directory.find("desk-2"), nullptr);
    EXPECT_NE(context->directory.find("desk-1"), nullptr);
}

// Guards against an endpoint that leaves just after one watch was cut, and that all routers keep as
// if the store had been unreachable.
TEST_F(StoreOrderTest, ARemovalAfterACutWatchCountsAtOnceAtAllRouters)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    store.write(ObjectKind::Registrations, "desk-2", heartbeat(1));
    start(true);
    store.cutWatches(ObjectKind::Registrations);
    loop.run_for(milliseconds(150));
    store.remove(ObjectKind::Registrations, "desk-2");
    loop.run_for(TimeToHear);
    EXPECT_EQ(context->directory.find("desk-2"), nullptr);
    EXPECT_TRUE(wasPublishedAsGone("desk-2"));
}

// Guards against endpoints that are dropped although their entries only expired in an outage, and
// against changes of other entries that wait until that is decided.
TEST_F(StoreOrderTest, EntriesThatExpiredInAnOutageAreKeptUntilTheyCanBeRenewed)
{
    for (const char *name : {"desk-1", "desk-2", "desk-3"})
        store.write(ObjectKind::Registrations, name, heartbeat(1));
    start(true);
    store.setAvailable(false);
    loop.run_for(Outage);
    store.remove(ObjectKind::Registrations, "desk-1");
    store.remove(ObjectKind::Registrations, "desk-2");
    store.setAvailable(true);
    loop.run_for(TimeToHear);
    EXPECT_NE(context->directory.find("desk-1"), nullptr);
    EXPECT_NE(context->directory.find("desk-2"), nullptr);
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(2));
    store.write(ObjectKind::Registrations, "desk-3", heartbeat(2, true));
    loop.run_for(TimeToHear);
    EXPECT_TRUE(context->directory.find("desk-3")->draining);
    EXPECT_TRUE(wasPublishedAsDraining("desk-3"));
    loop.run_for(RetentionEnd);
    EXPECT_NE(context->directory.find("desk-1"), nullptr);
    EXPECT_EQ(context->directory.find("desk-2"), nullptr);
    EXPECT_TRUE(wasPublishedAsGone("desk-2"));
}

// Guards against a removal that is held back although the endpoint wrote its entry after the
// outage.
TEST_F(StoreOrderTest, ARenewedEntryThatIsRemovedAfterAnOutageGoesAtOnce)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    start(true);
    store.setAvailable(false);
    loop.run_for(Outage);
    store.setAvailable(true);
    loop.run_for(milliseconds(900));
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(2));
    store.remove(ObjectKind::Registrations, "desk-1");
    loop.run_for(milliseconds(700));
    EXPECT_EQ(context->directory.find("desk-1"), nullptr);
}

// Guards against a router that was cut off and, once it is back, holds removals back that another
// router, which the store answered all the time, knows to be real.
TEST_F(StoreOrderTest, ARouterThatTheStoreAnsweredAllTheTimeShowsThatThereWasNoOutage)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    start(true);
    store.setAvailable(false);
    loop.run_for(Outage);
    store.remove(ObjectKind::Registrations, "desk-1");
    store.setAvailable(true);
    loop.run_for(milliseconds(900));
    ASSERT_NE(context->directory.find("desk-1"), nullptr);
    learnFromARouterThatWasAnswered();
    loop.run_for(milliseconds(400));
    EXPECT_EQ(context->directory.find("desk-1"), nullptr);
}

// Guards against a reader that keeps on using an endpoint which it retained, although the retention
// has ended, until the call for changes ends that waits just then and can't return the removal.
TEST_F(StoreOrderTest, TheEndOfARetentionIsNotDelayedByAWaitingWatch)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    start(true);
    store.setAvailable(false);
    loop.run_for(Outage);
    store.remove(ObjectKind::Registrations, "desk-1");
    store.setAvailable(true);
    loop.run_for(milliseconds(900));
    ASSERT_NE(context->directory.find("desk-1"), nullptr);
    waitForWatchToBegin();
    learnFromARouterThatWasAnswered();
    loop.run_for(WatchWait - milliseconds(50));
    EXPECT_EQ(context->directory.find("desk-1"), nullptr);
}

// Guards against a reader that hears from others of a newer version, and reads it only after the
// answer to its own waiting call, which was lost, is given up.
TEST_F(StoreOrderTest, AReaderWhoseWatchIsSilentReadsWhatOthersReport)
{
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(7));
    start(true);
    store.silenceWatches(ObjectKind::RoutingConfiguration);
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(8));
    loop.run_for(milliseconds(100));
    ASSERT_EQ(configurationInForce(), 7U);
    sync->learnConfigurationVersion(8);
    loop.run_for(milliseconds(100));
    EXPECT_EQ(configurationInForce(), 8U);
}

// Guards against a fleet in which each heartbeat of each endpoint is sent to all routers.
TEST_F(StoreOrderTest, HeartbeatsThatChangeNothingAreNotBroadcast)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    start(true);
    published.clear();
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(2));
    loop.run_for(TimeToHear);
    ASSERT_FALSE(published.empty());
    EXPECT_EQ(published.back().to, store.revision());
    for (const auto &update : published)
        EXPECT_TRUE(update.changed.empty() && update.deltas.empty() && update.gone.empty());
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(3, true));
    loop.run_for(TimeToHear);
    EXPECT_TRUE(wasPublishedAsDraining("desk-1"));
}

// Guards against a router that lists all endpoints again for each lost update.
TEST_F(StoreOrderTest, ALostUpdateIsMadeGoodByTheChangesThatItCarried)
{
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    start(false);
    const std::size_t lists = store.lists(ObjectKind::Registrations);
    store.write(ObjectKind::Registrations, "desk-2", heartbeat(1));
    const std::uint64_t lost = store.revision();
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(2, true));
    StoreUpdate update;
    update.origin = "another-reader";
    update.registrations = StoreUpdate::Registrations{lost, store.revision(), {}, {}};
    sync->learn(update);
    loop.run_for(TimeToHear);
    EXPECT_NE(context->directory.find("desk-2"), nullptr);
    EXPECT_TRUE(context->directory.find("desk-1")->draining);
    EXPECT_EQ(store.lists(ObjectKind::Registrations), lists);
}

// Guards against a change that is dropped because the router never got the entry that it is of.
TEST_F(StoreOrderTest, AChangeOfAnUnknownEntryIsReadFromTheStore)
{
    start(false);
    const std::uint64_t known = context->directory.revision();
    store.write(ObjectKind::Registrations, "desk-1", heartbeat(1));
    StoreUpdate update;
    update.origin = "another-reader";
    update.registrations = StoreUpdate::Registrations{known, store.revision(), {}, {}};
    update.registrations->deltas = {{shortHash("desk-1"), 7, true, {}, store.revision()}};
    sync->learn(update);
    loop.run_for(TimeToHear);
    ASSERT_NE(context->directory.find("desk-1"), nullptr);
    EXPECT_FALSE(context->directory.find("desk-1")->draining);
}

// Guards against a change that comes into force too late when the answers to all readers are lost.
TEST_F(StoreOrderTest, AChangeWhoseAnswerIsLostIsInForceWithinTheDeadline)
{
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(7));
    start(true);
    store.silenceWatches(ObjectKind::RoutingConfiguration);
    store.write(ObjectKind::RoutingConfiguration, "main", configuration(8));
    loop.run_for(context->settings.configurationDeadline - TimeForOthers);
    EXPECT_EQ(configurationInForce(), 8U);
}

} // namespace almondmill::test
