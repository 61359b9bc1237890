// Requests for lists that are made while another list is on its way: only a read that is sent after
// a request answers it.

#include "almondmill/directory/listrequests.h"
#include "almondmill/directory/reportedversion.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

} // namespace

// Guards against a change that is never read because it was announced while an older list was on
// its way.
TEST(ListRequests, ARequestDuringAReadIsAnsweredByTheNextRead)
{
    ListRequests requests(Freshness::Current);
    const auto first = requests.begin();
    requests.request();
    EXPECT_TRUE(requests.complete(first, 5, 0));
    EXPECT_TRUE(requests.isPending());
    EXPECT_TRUE(requests.complete(requests.begin(), 5, 5));
    EXPECT_FALSE(requests.isPending());
}

// Guards against updates that stay lost because the list that was to replace them had been sent
// before the revision was requested.
TEST(ListRequests, ARevisionRequestedDuringAReadIsReadUnlessTheAnswerHoldsIt)
{
    ListRequests requests(Freshness::Current);
    const auto first = requests.begin();
    requests.requestUpTo(9);
    EXPECT_TRUE(requests.complete(first, 8, 0));
    EXPECT_TRUE(requests.isPending());
    const auto second = requests.begin();
    requests.requestUpTo(10);
    EXPECT_TRUE(requests.complete(second, 10, 8));
    EXPECT_FALSE(requests.isPending());
}

TEST(ListRequests, ARevisionThatTheStoreDoesNotHaveIsReadOnce)
{
    ListRequests requests(Freshness::Current);
    requests.requestUpTo(100);
    EXPECT_TRUE(requests.complete(requests.begin(), 8, 0));
    EXPECT_FALSE(requests.isPending());
}

// Guards against routers that, when their first lists fail because all of them start at once, ask
// the store for current lists only, which cost it most.
TEST(ListRequests, EveryOtherListAfterAFailureIsStaleUnlessItMustBeCurrent)
{
    ListRequests requests(Freshness::MayBeStale);
    requests.fail();
    EXPECT_EQ(requests.begin().freshness, Freshness::Current);
    requests.fail();
    EXPECT_EQ(requests.begin().freshness, Freshness::MayBeStale);
    requests.request();
    requests.fail();
    EXPECT_EQ(requests.begin().freshness, Freshness::Current);
    requests.fail();
    EXPECT_EQ(requests.begin().freshness, Freshness::Current);
}

TEST(ListRequests, AStaleListIsNotUsedForACurrentRequest)
{
    ListRequests requests(Freshness::MayBeStale);
    const auto first = requests.begin();
    EXPECT_EQ(first.freshness, Freshness::MayBeStale);
    requests.request();
    EXPECT_FALSE(requests.complete(first, 5, 0));
    EXPECT_TRUE(requests.isPending());
    EXPECT_EQ(requests.begin().freshness, Freshness::Current);
}

// Guards against a version that counts as missing because of a read from before its report.
TEST(ReportedVersion, AReadFromBeforeTheReportShowsNothing)
{
    ReportedVersion reported;
    EXPECT_TRUE(reported.record(8, Start));
    EXPECT_TRUE(reported.record(9, Start + milliseconds(80)));
    EXPECT_EQ(reported.recordRead(8, Start + milliseconds(1), Start + milliseconds(300)),
              std::nullopt);
    EXPECT_TRUE(reported.isAwaited(8));
    EXPECT_FALSE(reported.isAwaited(9));
}

TEST(ReportedVersion, AVersionThatTheStoreLacksIsReadAgainLater)
{
    ReportedVersion reported;
    EXPECT_TRUE(reported.record(9, Start));
    EXPECT_EQ(reported.recordRead(8, Start + milliseconds(1), Start + milliseconds(5)), 9U);
    EXPECT_FALSE(reported.record(9, Start + milliseconds(100)));
    EXPECT_TRUE(reported.record(10, Start + milliseconds(200)));
    EXPECT_TRUE(reported.record(9, Start + milliseconds(6000)));
}

} // namespace almondmill::test
