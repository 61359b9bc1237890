#include "almondmill/forward/endpointhealth.h"
#include "almondmill/forward/serviceretrybudgets.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

} // namespace

TEST(EndpointHealth, BackoffGrowsWithConsecutiveUnansweredRequests)
{
    EndpointHealth health;
    EXPECT_FALSE(health.isAvoided(Start));
    health.recordNoAnswer(Start);
    EXPECT_TRUE(health.isAvoided(Start + milliseconds(900)));
    EXPECT_FALSE(health.isAvoided(Start + milliseconds(1100)));
    health.recordNoAnswer(Start + seconds(2));
    EXPECT_TRUE(health.isAvoided(Start + milliseconds(3900)));
    health.recordSuccess(milliseconds(30), Start + seconds(5));
    health.recordNoAnswer(Start + seconds(6));
    EXPECT_FALSE(health.isAvoided(Start + milliseconds(7100)));
}

TEST(EndpointHealth, FailureShareDecaysWithoutRequests)
{
    EndpointHealth health;
    for (int call = 0; call < 20; ++call)
        health.recordFailure(Start);
    const double fresh = health.failureShare(Start);
    EXPECT_GT(fresh, 0.9);
    EXPECT_LT(health.failureShare(Start + seconds(20)), fresh / 8);
}

TEST(EndpointHealth, BytesOfAnyAnswerCountAsActivity)
{
    EndpointHealth health;
    EXPECT_FALSE(health.wasActiveSince(Start));
    health.recordActivity(Start + seconds(1));
    EXPECT_TRUE(health.wasActiveSince(Start));
    EXPECT_FALSE(health.wasActiveSince(Start + seconds(2)));
}

TEST(ServiceRetryBudgets, AllRoutersTogetherStayWithinTheBudget)
{
    ServiceRetryBudgets::Options options;
    options.retryRatio = 0.2;
    options.minRetries = 108;
    options.window = seconds(10);
    options.routerCount = 16;
    ServiceRetryBudgets budgets(options);
    std::uint32_t retries = 0;
    std::uint32_t requests = 0;
    for (int tenth = 0; tenth < 100; ++tenth) {
        const SteadyTime now = Start + milliseconds(100) * tenth;
        budgets.requestStarted("s", now);
        ++requests;
        while (budgets.take("s", now))
            ++retries;
    }
    EXPECT_LE(retries * options.routerCount,
              options.retryRatio * requests * options.routerCount + options.minRetries);
    EXPECT_GT(retries, 0U);
}

// The class of issue 28: a bound for all routers that each router keeps for itself. A budget that
// is full again whenever another router becomes known lets the fleet exceed the users' bound.
TEST(ServiceRetryBudgets, AGrowingFleetDoesNotRefillWhatWasSpent)
{
    ServiceRetryBudgets::Options options;
    options.minRetries = 640;
    options.routerCount = 16;
    ServiceRetryBudgets budgets(options);
    int retries = 0;
    for (std::uint32_t routers = 16; routers <= 320; ++routers) {
        budgets.setRouters(routers);
        while (budgets.take("s", Start))
            ++retries;
    }
    EXPECT_LE(retries, 20);
}

// A budget that was not spent is cut down to the share of a larger fleet.
TEST(ServiceRetryBudgets, AnUnspentBudgetShrinksToTheShareOfALargerFleet)
{
    ServiceRetryBudgets::Options options;
    options.minRetries = 640;
    options.routerCount = 16;
    ServiceRetryBudgets budgets(options);
    ASSERT_TRUE(budgets.take("s", Start));
    budgets.setRouters(160);
    int retries = 0;
    while (budgets.take("s", Start))
        ++retries;
    EXPECT_EQ(retries, 2);
}

} // namespace almondmill::test
