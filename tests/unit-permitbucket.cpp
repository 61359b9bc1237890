// Decisions about permits: how many are issued, when they can be used, and who is to use them.

#include "almondmill/forward/callerreturns.h"
#include "almondmill/forward/permitbucket.h"
#include "almondmill/forward/permitpreference.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr milliseconds NoWait{0};

/// The most permits that can be used within a window of that length.
std::size_t mostIn(milliseconds window, std::vector<SteadyTime> times)
{
    std::sort(times.begin(), times.end());
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace

// Guards against routers that each begin with a full bucket, which together exceed a limit at once.
TEST(PermitBucket, StartsEmpty)
{
    PermitBucket bucket(Start);
    EXPECT_EQ(bucket.take(2, NoWait, Start), std::nullopt);
    EXPECT_EQ(bucket.take(2, NoWait, Start + milliseconds(499)), std::nullopt);
    EXPECT_EQ(bucket.take(2, NoWait, Start + milliseconds(500)), NoWait);
    EXPECT_EQ(bucket.take(2, NoWait, Start + milliseconds(501)), std::nullopt);
}

TEST(PermitBucket, APermitCanBeReservedAheadOfTime)
{
    PermitBucket bucket(Start);
    EXPECT_EQ(bucket.take(2, milliseconds(400), Start), std::nullopt);
    EXPECT_EQ(bucket.take(2, milliseconds(500), Start), milliseconds(500));
    EXPECT_EQ(bucket.take(2, milliseconds(500), Start), std::nullopt);
    EXPECT_EQ(bucket.take(2, milliseconds(1000), Start), milliseconds(1000));
}

// Guards against an endpoint that can't state that its limit has ended, since it gets nothing.
TEST(PermitBucket, ALimitOfZeroLeavesOneRequestInFiveSeconds)
{
    PermitBucket bucket(Start);
    int permits = 0;
    for (milliseconds at(0); at <= seconds(20); at += milliseconds(100))
        permits += bucket.take(0, NoWait, Start + at) ? 1 : 0;
    EXPECT_EQ(permits, 4);
}

TEST(PermitBucket, APermitThatWasGivenBackIsIssuedAgainOnce)
{
    PermitBucket bucket(Start);
    const SteadyTime later = Start + seconds(1);
    ASSERT_TRUE(bucket.take(1, NoWait, later));
    EXPECT_FALSE(bucket.take(1, NoWait, later));
    bucket.giveBack();
    EXPECT_TRUE(bucket.take(1, NoWait, later));
    for (int index = 0; index < 50; ++index)
        bucket.giveBack();
    EXPECT_TRUE(bucket.take(1, NoWait, later));
    EXPECT_FALSE(bucket.take(1, NoWait, later));
}

TEST(PermitBucket, PermitsReservedAtALowRateDontDelayThoseAtAHigherOne)
{
    PermitBucket bucket(Start);
    ASSERT_TRUE(bucket.take(0.2, seconds(5), Start));
    EXPECT_LE(bucket.take(10, milliseconds(200), Start), milliseconds(200));
}

// Guards against all refused routers asking again for the same permit.
TEST(PermitBucket, RefusedRoutersAreInvitedOneAfterTheOther)
{
    PermitBucket bucket(Start);
    const SteadyTime now = Start + seconds(1);
    ASSERT_TRUE(bucket.take(1, NoWait, now));
    milliseconds last(0);
    for (int router = 0; router < 6; ++router) {
        const milliseconds invitation = bucket.nextInvitation(seconds(30), now);
        EXPECT_GT(invitation, last);
        last = invitation;
    }
    EXPECT_LE(last, seconds(3));
    EXPECT_EQ(bucket.nextInvitation(seconds(1), now), seconds(1));
}

// The users allow 1.5 times what the limit makes in 4 s, and 5 requests: the permits of a full and
// of a standby issuer together stay below that.
RC_GTEST_PROP(PermitBucketProperty, TheUseOfPermitsStaysWithinTheLimit, ())
{
    const double perSecond = *rc::gen::inRange(1, 400) / 10.0;
    PermitBucket bucket(Start);
    std::vector<SteadyTime> uses;
    SteadyTime now = Start;
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(*rc::gen::inRange(0, 100));
        const auto usableIn = bucket.take(perSecond, milliseconds(*rc::gen::inRange(0, 200)), now);
        if (usableIn && *rc::gen::inRange(0, 10) == 0)
            bucket.giveBack();
        else if (usableIn)
            uses.push_back(now + *usableIn);
    }
    const double burst = perSecond * std::chrono::duration<double>(PermitBucket::BurstTime).count();
    // A permit that is given back may be used again at an earlier time than that it was issued for.
    constexpr double AheadOfTime = 0.2;
    RC_ASSERT(static_cast<double>(mostIn(seconds(4), uses))
              <= (4 + AheadOfTime) * perSecond + burst + 1);
}

TEST(PermitPreference, TheLargestRequestsUseThePermits)
{
    PermitPreference preference;
    EXPECT_TRUE(preference.isPreferred(1, 0.1));
    // Ten requests a second, each tenth of which is large.
    for (int index = 0; index < 200; ++index)
        preference.recordRequest(index % 10 == 0 ? 9000 : 800 + index % 10,
                                 Start + milliseconds(100) * index);
    EXPECT_TRUE(preference.isPreferred(9000, 1));
    EXPECT_FALSE(preference.isPreferred(805, 1));
    EXPECT_TRUE(preference.isPreferred(805, 10));
}

TEST(PermitPreference, RequestsOfTheSameSizeAreAllPreferred)
{
    PermitPreference preference;
    for (int index = 0; index < 200; ++index)
        preference.recordRequest(800, Start + milliseconds(100) * index);
    EXPECT_TRUE(preference.isPreferred(800, 0.1));
}

// Guards against refused callers that all return at the same moment.
TEST(CallerReturns, CallersReturnAtTheRateThatIsFree)
{
    CallerReturns returns;
    EXPECT_EQ(returns.next("a", 2, milliseconds(300), Start), milliseconds(300));
    EXPECT_EQ(returns.next("a", 2, milliseconds(300), Start), milliseconds(800));
    EXPECT_EQ(returns.next("a", 2, milliseconds(300), Start), milliseconds(1300));
    EXPECT_EQ(returns.next("b", 2, milliseconds(300), Start + seconds(10)), milliseconds(300));
    for (int caller = 0; caller < 100; ++caller)
        EXPECT_LE(returns.next("a", 2, milliseconds(300), Start), CallerReturns::LongestReturn);
    EXPECT_EQ(returns.next("c", 0, seconds(20), Start), seconds(20));
}

} // namespace almondmill::test
