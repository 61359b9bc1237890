#include "almondmill/forward/partlocations.h"
#include "almondmill/forward/savebudget.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds PrefillTime{200};
constexpr std::uint32_t Store = 5;

} // namespace

TEST(PartLocations, TheLatestPlacementIsCurrent)
{
    PartLocations locations;
    locations.recordPlacement({1, 10, true}, Store, PrefillTime, Start);
    locations.recordPlacement({1, 20, false}, Store, PrefillTime, Start + std::chrono::seconds(1));
    ASSERT_NE(locations.find(1), nullptr);
    EXPECT_EQ(locations.find(1)->current.endpoint, 20U);
    EXPECT_EQ(locations.find(1)->previous->endpoint, 10U);
    ASSERT_TRUE(locations.find(1)->saved);
    EXPECT_EQ(locations.find(1)->saved->store, Store);
    EXPECT_GT(locations.find(1)->saved->availableAt, Start + PrefillTime);
    EXPECT_EQ(locations.find(2), nullptr);
}

TEST(PartLocations, APartIsComputedOnceAtEachEngine)
{
    PartLocations locations;
    const SteadyTime later = Start + std::chrono::seconds(1);
    locations.recordPlacement({1, 10, false}, Store, PrefillTime, Start);
    EXPECT_EQ(locations.find(1)->current.availableAt, Start + PrefillTime);
    locations.recordPlacement({1, 10, false}, Store, PrefillTime, later);
    EXPECT_EQ(locations.find(1)->current.availableAt, Start + PrefillTime);
    EXPECT_EQ(locations.find(1)->current.lastUsedAt, later);
    locations.recordPlacement({1, 20, false}, Store, PrefillTime, later);
    EXPECT_EQ(locations.find(1)->current.availableAt, later + PrefillTime);
    locations.recordPlacement({1, 10, false}, Store, PrefillTime, later);
    EXPECT_EQ(locations.find(1)->current.availableAt, Start + PrefillTime);
    EXPECT_EQ(locations.find(1)->previous->endpoint, 20U);
}

TEST(PartLocations, KeysDifferBetweenCacheScopes)
{
    EXPECT_NE(partKey("w1", "a"), partKey("w2", "a"));
    EXPECT_NE(partKey("w1", "a"), partKey("w1/x", "a"));
    EXPECT_EQ(partKey("w1", "a"), partKey("w1", "a"));
}

TEST(SaveBudget, StaysWithinItsShareOfTheLink)
{
    constexpr double BytesPerSecond = 1e9;
    SaveBudget budget;
    double saved = 0;
    constexpr int Tenths = 600;
    constexpr double Seconds = 60;
    for (int tenth = 0; tenth < Tenths; ++tenth) {
        const SteadyTime now = Start + std::chrono::milliseconds(100) * tenth;
        while (budget.take(3e8, BytesPerSecond, now))
            saved += 3e8;
    }
    EXPECT_LE(saved, (Seconds + 5) * BytesPerSecond);
    EXPECT_GE(saved, (Seconds - 5) * BytesPerSecond);
}

} // namespace almondmill::test
