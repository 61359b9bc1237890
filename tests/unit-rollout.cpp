#include "almondmill/forward/weightstargets.h"
#include "almondmill/rollout/namedweights.h"
#include "almondmill/rollout/rolloutplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

} // namespace

TEST(RolloutPlan, OldestWeightsGoFirstThenTheLeastLoaded)
{
    const std::vector<RolloutEngine> engines{
            {2, false, 0}, {1, false, 9}, {1, false, 4}, {3, false, 0}, {3, false, 0}};
    EXPECT_EQ(planRollout(engines, 3), (std::vector<std::size_t>{2, 1}));
}

RC_GTEST_PROP(RolloutPlan, LimitsConcurrentLoads, ())
{
    std::vector<RolloutEngine> engines(*rc::gen::inRange<std::size_t>(0, 90));
    std::size_t loading = 0;
    for (auto &engine : engines) {
        engine.version = *rc::gen::inRange<std::uint64_t>(1, 4);
        engine.isLoading = *rc::gen::arbitrary<bool>();
        loading += engine.isLoading ? 1 : 0;
    }
    const auto chosen = planRollout(engines, 3);
    for (const std::size_t index : chosen)
        RC_ASSERT(!engines[index].isLoading && engines[index].version < 3U);
    RC_ASSERT(chosen.empty()
              || loading + chosen.size() <= std::max<std::size_t>(2, engines.size() / 5));
}

TEST(WeightsTargets, AgeIsMeasuredFromTheFirstNewerVersion)
{
    WeightsTargets targets;
    EXPECT_TRUE(targets.learn({"m", 2}, Start));
    EXPECT_TRUE(targets.learn({"m", 3}, Start + seconds(3)));
    EXPECT_FALSE(targets.learn({"m", 2}, Start + seconds(5)));
    EXPECT_EQ(targets.newest("m"), 3U);
    EXPECT_EQ(targets.outdatedSince("m", 1), Start);
    EXPECT_EQ(targets.outdatedSince("m", 2), Start + seconds(3));
    EXPECT_EQ(targets.outdatedSince("m", 3), std::nullopt);
    EXPECT_EQ(targets.outdatedSince("other", 1), std::nullopt);
}

TEST(WeightsTargets, AnEarlierReportOfTheSameVersionCorrectsItsAge)
{
    WeightsTargets targets;
    targets.learn({"m", 2}, Start);
    EXPECT_FALSE(targets.learn({"m", 2}, Start - seconds(4)));
    EXPECT_EQ(targets.outdatedSince("m", 1), Start - seconds(4));
}

TEST(NamedWeights, RestartedRouterRestoresTheAgeFromTheLeaseNote)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    WeightsTargets before;
    before.learn({"m", 2}, now - seconds(30));
    WeightsTargets after;
    restoreNamedWeights(after, serializeNamedWeights(before));
    ASSERT_EQ(after.newest("m"), 2U);
    EXPECT_LT(*after.outdatedSince("m", 1), now - seconds(29));
    restoreNamedWeights(after, "not json");
    restoreNamedWeights(after, "");
    EXPECT_EQ(after.newest("m"), 2U);
}

} // namespace almondmill::test
