// What counts as an outage of the store, and which entries are kept after one.

#include "almondmill/directory/registration.h"
#include "almondmill/directory/removalretention.h"
#include "almondmill/directory/storeoutage.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

Registration writtenAt(std::uint64_t revision)
{
    Registration entry;
    entry.id = "a";
    entry.revision = revision;
    return entry;
}

} // namespace

TEST(StoreOutage, AShortFailureIsNoOutage)
{
    StoreOutage outage;
    outage.recordAnswer(Start);
    outage.recordFailure();
    outage.recordAnswer(Start + milliseconds(1100));
    EXPECT_FALSE(outage.takeEnded());
    EXPECT_EQ(outage.answeringFor(Start + seconds(2)), seconds(2));
}

TEST(StoreOutage, ALongFailureIsAnOutageOnce)
{
    StoreOutage outage;
    outage.recordAnswer(Start);
    outage.recordFailure();
    outage.recordAnswer(Start + seconds(3));
    const auto ended = outage.takeEnded();
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->begin, Start);
    EXPECT_EQ(ended->end, Start + seconds(3));
    EXPECT_FALSE(outage.takeEnded());
    EXPECT_EQ(outage.answeringFor(Start + seconds(4)), seconds(1));
}

TEST(StoreOutage, AnAnswerToAnotherRouterShowsThatTheStoreWorks)
{
    StoreOutage outage;
    outage.recordAnswer(Start);
    outage.recordFailure();
    for (int second = 1; second <= 5; ++second)
        outage.recordPeerAnswer(Start + seconds(second));
    outage.recordFailure();
    outage.recordAnswer(Start + milliseconds(5500));
    EXPECT_FALSE(outage.takeEnded());
}

// Guards against a router that relied on others, and takes their silence for an outage.
TEST(StoreOutage, SilenceWithoutAFailureIsNoOutage)
{
    StoreOutage outage;
    outage.recordAnswer(Start);
    outage.recordAnswer(Start + seconds(60));
    EXPECT_FALSE(outage.takeEnded());
    EXPECT_EQ(outage.answeringFor(Start + seconds(61)), seconds(1));
}

TEST(StoreOutage, AStoreThatFailsFromTheStartIsAnOutage)
{
    StoreOutage outage;
    outage.recordFailure();
    outage.recordAnswer(Start);
    EXPECT_TRUE(outage.takeEnded());
}

TEST(RemovalRetention, KeepsEntriesThatWereNotWrittenSinceTheOutage)
{
    RemovalRetention retention;
    EXPECT_FALSE(retention.retains(writtenAt(5), Start));
    retention.begin({Start - seconds(5), Start});
    retention.recordRead(10);
    retention.recordRead(20);
    EXPECT_TRUE(retention.retains(writtenAt(10), Start));
    EXPECT_FALSE(retention.retains(writtenAt(11), Start));
    EXPECT_FALSE(retention.retains(writtenAt(10), Start + seconds(3)));
}

TEST(RemovalRetention, FollowsOtherRoutersForABoundedTime)
{
    RemovalRetention retention;
    retention.follow(std::chrono::hours(1), Start);
    EXPECT_TRUE(retention.retains(writtenAt(1), Start + seconds(2)));
    EXPECT_FALSE(retention.retains(writtenAt(1), Start + seconds(3)));
}

TEST(RemovalRetention, EndsWhenARouterWasAnsweredThroughoutTheOutage)
{
    RemovalRetention retention;
    retention.begin({Start - seconds(5), Start});
    EXPECT_FALSE(retention.endIfAnswered(seconds(2), Start));
    EXPECT_TRUE(retention.endIfAnswered(seconds(6), Start));
    EXPECT_FALSE(retention.retains(writtenAt(1), Start));
    EXPECT_FALSE(retention.endIfAnswered(seconds(6), Start));
}

} // namespace almondmill::test
