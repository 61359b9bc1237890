// Guards against a flooded account whose large requests are nearly all refused: small ones took
// what came into the bucket before it held enough for a large one.

#include "almondmill/peers/quotabucket.h"
#include "almondmill/route/accountquota.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr double Large = 9000;
constexpr double Small = 900;

AccountQuota tokensPerSecond(double rate)
{
    AccountQuota quota;
    quota.perSecond = rate;
    quota.burst = rate;
    quota.countsTokens = true;
    return quota;
}

} // namespace

TEST(QuotaBucket, RefusesLargeAndSmallRequestsAlike)
{
    // 20 s of five times the quota, large and small requests in turn.
    const AccountQuota quota = tokensPerSecond(100'000);
    constexpr milliseconds Interval{10};
    constexpr int Requests = 2000;
    QuotaBucket bucket(0, Start);
    int large = 0;
    int small = 0;
    for (int request = 0; request < Requests; ++request) {
        bucket.refill(quota, 1, Start + Interval * request);
        if (request % 2 == 0)
            large += bucket.take(Large, quota) ? 1 : 0;
        else
            small += bucket.take(Small, quota) ? 1 : 0;
    }
    EXPECT_GT(large, Requests / 2 / 10);
    EXPECT_LT(std::abs(large - small), small / 4 + 1);
}

TEST(QuotaBucket, AdmitsNoMoreThanTheRateAndOneRequest)
{
    const AccountQuota quota = tokensPerSecond(100'000);
    constexpr milliseconds Interval{1};
    constexpr int Requests = 8000;
    QuotaBucket bucket(0, Start);
    double admitted = 0;
    for (int request = 0; request < Requests; ++request) {
        bucket.refill(quota, 1, Start + Interval * request);
        admitted += bucket.take(Large, quota) ? Large : 0;
    }
    EXPECT_LE(admitted, 8 * quota.perSecond + Large);
}

} // namespace almondmill::test
