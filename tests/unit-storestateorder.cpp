// Answers of the store that arrive late, in another order than they were given, or not at all: what
// a router believes afterwards must still be what the store holds.

#include "support/scriptedstore.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/storestatesync.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// An answer that was retransmitted once after a lost packet.
constexpr milliseconds LateAnswer{300};

/// Longest time in which a router learns of a change, with one retransmission.
constexpr milliseconds TimeToLearn{1500};

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
        context.emplace(loop, settingsOfRank(!isReader), PlatformAdapterRegistry::create("rietwerk"));
        sync.emplace(*context, store, [this](auto registrations) {
            if (registrations)
                published.push_back(std::move(*registrations));
        });
        sync->start();
        loop.run_for(milliseconds(isReader ? 700 : 100));
    }

    std::uint64_t configurationInForce() const
    {
        const auto table = context->table.snapshot();
        return table ? table->version() : 0;
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

} // namespace almondmill::test
