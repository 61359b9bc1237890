#include "support/configurationfleet.h"
#include "support/configurations.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Timeout{1000};
constexpr milliseconds ExpectedPropagationTime{2000}; ///< Bound without failures.
constexpr milliseconds MaxPropagationTime{11000};     ///< Bound with failures.

void submit(ConfigurationFleet &fleet, std::uint64_t base, std::size_t endpoints = 4)
{
    ConfigurationStore store(fleet.store().inner(), Timeout);
    ASSERT_TRUE(std::holds_alternative<Applied>(
            store.submit(makeInventory(endpoints), makeRules(2), base)));
}

/// Returns the time until `version` is in force at all routers that are not frozen.
milliseconds propagationTime(ConfigurationFleet &fleet, std::uint64_t version)
{
    constexpr milliseconds Step{50};
    milliseconds passed{0};
    while (!fleet.allHave(version) && passed < MaxPropagationTime * 4) {
        fleet.run(Step);
        passed += Step;
    }
    return passed;
}

/// Returns the rate of platform calls per second of a fleet in steady state.
double callsPerSecond(std::size_t size)
{
    constexpr seconds Measured{60};
    ConfigurationFleet fleet(size);
    submit(fleet, 0);
    fleet.run(seconds(3));
    EXPECT_TRUE(fleet.allHave(1));
    fleet.store().resetCounts();
    fleet.run(Measured);
    return static_cast<double>(fleet.store().reads() + fleet.store().watches())
           / static_cast<double>(Measured.count());
}

} // namespace

TEST(ConfigurationSync, PlatformCallsDoNotGrowWithTheFleet)
{
    const double at14 = callsPerSecond(14);
    const double at56 = callsPerSecond(56);
    const double at320 = callsPerSecond(320);
    RecordProperty("calls_per_s_14", std::to_string(at14));
    RecordProperty("calls_per_s_56", std::to_string(at56));
    RecordProperty("calls_per_s_320", std::to_string(at320));
    EXPECT_LT(at56, at14 * 1.25);
    EXPECT_LT(at320, at14 * 1.25);
}

TEST(ConfigurationSync, AChangeIsInForceEverywhereWithinTwoSeconds)
{
    for (const std::size_t size : {14U, 56U, 320U}) {
        ConfigurationFleet fleet(size);
        submit(fleet, 0);
        fleet.run(seconds(3));
        submit(fleet, 1);
        const auto time = propagationTime(fleet, 2);
        RecordProperty("in_force_ms_" + std::to_string(size), static_cast<int>(time.count()));
        EXPECT_LE(time, ExpectedPropagationTime) << size;
    }
}

TEST(ConfigurationSync, FrozenWatchersDelayAChangeByLessThanTheTarget)
{
    for (const std::size_t size : {14U, 56U, 320U}) {
        ConfigurationFleet fleet(size);
        submit(fleet, 0);
        fleet.run(seconds(3));
        fleet.refreshView();
        fleet.freezeWatchers();
        submit(fleet, 1);
        const auto time = propagationTime(fleet, 2);
        RecordProperty("in_force_ms_" + std::to_string(size), static_cast<int>(time.count()));
        EXPECT_LE(time, MaxPropagationTime) << size;
    }
}

TEST(ConfigurationSync, ARouterThatStartsDuringAnOutageTakesItsConfigurationFromAPeer)
{
    ConfigurationFleet fleet(3);
    submit(fleet, 0);
    fleet.run(seconds(3));
    fleet.store().setOutage(true);
    fleet.restart(1);
    fleet.refreshView();
    EXPECT_EQ(fleet.version(1), 0U);
    fleet.peerStep(1);
    EXPECT_EQ(fleet.version(1), 1U);
}

TEST(ConfigurationSync, AConfigurationLargerThanOneMessageIsPulledInSeveral)
{
    constexpr std::size_t Accounts = 28000;
    ConfigurationFleet fleet(2);
    ConfigurationStore store(fleet.store().inner(), Timeout);
    store.submit(makeInventory(4), makeRules(Accounts), 0);
    fleet.run(seconds(3));
    ASSERT_TRUE(fleet.allHave(1));
    fleet.store().setOutage(true);
    fleet.restart(1);
    fleet.refreshView();
    fleet.peerStep(1);
    EXPECT_EQ(fleet.version(1), 1U);
}

TEST(ConfigurationSync, WithoutPeersAndPlatformItReportsThePlatformsAnswer)
{
    ConfigurationFleet fleet(1);
    fleet.store().setOutage(true);
    fleet.run(seconds(1));
    nlohmann::json dump;
    fleet.sync(0).dump(dump, fleet.now());
    EXPECT_EQ(dump["version"], 0);
    EXPECT_EQ(dump["platform_answer"], "outage");
    fleet.store().setOutage(false);
    submit(fleet, 0);
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.version(0), 1U);
}

TEST(ConfigurationSync, AnInvalidConfigurationIsRefusedEverywhereAndShown)
{
    ConfigurationFleet fleet(4);
    submit(fleet, 0);
    fleet.run(seconds(3));
    ConfigurationStore store(fleet.store().inner(), Timeout);
    Rules rules = makeRules(2);
    rules.placementPolicy = "by-hand";
    ASSERT_TRUE(std::holds_alternative<Applied>(store.submit(makeInventory(4), rules, 1)));
    fleet.run(seconds(10));
    EXPECT_TRUE(fleet.allHave(1));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        nlohmann::json dump;
        fleet.sync(i).dump(dump, fleet.now());
        EXPECT_EQ(dump["refused"]["version"], 2) << i;
        EXPECT_NE(dump["refused"]["findings"][0].get<std::string>().find("by-hand"),
                  std::string::npos);
    }
    submit(fleet, 2);
    EXPECT_LE(propagationTime(fleet, 3), MaxPropagationTime);
}

TEST(ConfigurationSync, AStoreThatAnswersWithAnOlderVersionIsRefusedAndCounted)
{
    ConfigurationFleet fleet(2);
    submit(fleet, 0);
    const auto old = std::get<StoredObject>(fleet.store().inner().read(RootName, Timeout));
    submit(fleet, 1);
    fleet.run(seconds(3));
    ASSERT_TRUE(fleet.allHave(2));
    fleet.store().setStaleRoot(old);
    fleet.run(seconds(10));
    EXPECT_TRUE(fleet.allHave(2));
    EXPECT_GT(fleet.refused(0, "lower_version") + fleet.refused(1, "lower_version"), 0U);
}

TEST(ConfigurationSync, AnInvalidConfigurationIsNotFetchedRepeatedly)
{
    ConfigurationFleet fleet(1);
    submit(fleet, 0);
    fleet.run(seconds(3));
    ConfigurationStore store(fleet.store().inner(), Timeout);
    Rules rules = makeRules(2);
    rules.placementPolicy = "by-hand";
    ASSERT_TRUE(std::holds_alternative<Applied>(store.submit(makeInventory(5), rules, 1)));
    fleet.run(seconds(3));
    fleet.store().resetCounts();
    fleet.run(seconds(30));
    EXPECT_LE(fleet.store().reads(), 30U);
}

} // namespace almondmill::test
