// Since when the weights of an engine are outdated, however quickly versions follow each other.

#include "almondmill/forward/weightstargets.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

/// Versions 1, 2, ... of a model, named in these intervals.
WeightsTargets named(std::uint64_t count, milliseconds interval)
{
    WeightsTargets targets;
    for (std::uint64_t version = 1; version <= count; ++version)
        targets.learn({"m", version}, Start + interval * version);
    return targets;
}

} // namespace

// Guards against requests on weights that were replaced too long ago, because the version that
// replaced them is forgotten when many more are named.
TEST(WeightsTargets, ManyVersionsInAShortTimeDoNotPostponeADeadline)
{
    constexpr milliseconds Interval{500};
    constexpr std::uint64_t Versions = 20;
    const WeightsTargets targets = named(Versions, Interval);
    for (std::uint64_t version = 1; version < Versions; ++version)
        EXPECT_EQ(targets.outdatedSince("m", version), Start + Interval * (version + 1));
    EXPECT_EQ(targets.outdatedSince("m", Versions), std::nullopt);
}

TEST(WeightsTargets, WithMoreVersionsThanAreKeptNoEngineCountsAsOutdatedTooLate)
{
    constexpr milliseconds Interval{100};
    constexpr std::uint64_t Versions = 300;
    const WeightsTargets targets = named(Versions, Interval);
    EXPECT_LE(targets.knownVersions("m").size(), 24U);
    for (std::uint64_t version = 1; version < Versions; ++version) {
        const auto since = targets.outdatedSince("m", version);
        ASSERT_TRUE(since);
        EXPECT_LE(*since, Start + Interval * (version + 1));
        EXPECT_GE(*since, Start + Interval * (version + 1) - seconds(3)) << version;
    }
}

TEST(WeightsTargets, OldVersionsAreDroppedBeforeOthersAreMerged)
{
    const WeightsTargets targets = named(100, seconds(10));
    EXPECT_LE(targets.knownVersions("m").size(), 24U);
    EXPECT_EQ(targets.outdatedSince("m", 99), Start + seconds(1000));
    EXPECT_EQ(targets.outdatedSince("m", 98), Start + seconds(990));
    EXPECT_LE(*targets.outdatedSince("m", 1), Start + seconds(970));
}

TEST(WeightsTargets, AVersionThatIsKnownLaterThanANewerOne)
{
    WeightsTargets targets;
    targets.learn({"m", 5}, Start);
    EXPECT_FALSE(targets.learn({"m", 4}, Start + seconds(3)));
    EXPECT_EQ(targets.outdatedSince("m", 3), Start);
    EXPECT_EQ(targets.newest("m"), 5U);
}

} // namespace almondmill::test
