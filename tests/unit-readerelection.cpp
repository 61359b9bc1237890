// Which routers read the store after all routers of a fleet have started at once, before any of
// them has received an update: the pattern of a power failure.

#include "almondmill/peers/readerelection.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

/// Number of routers of a fleet that read the store that long after their common start.
int readersAfter(milliseconds time, int routers)
{
    int readers = 0;
    for (int router = 0; router < routers; ++router) {
        const ReaderElection election("front-" + std::to_string(router), milliseconds(4000));
        const bool reads =
                election.isReader(Start + time) && !election.inStartupGrace(Start, Start + time);
        readers += reads ? 1 : 0;
    }
    return readers;
}

} // namespace

TEST(ReaderElection, AfterACommonStartSomeRoutersReadSoonInFleetsOfAnySize)
{
    for (const int routers : {14, 96, 300}) {
        EXPECT_GE(readersAfter(milliseconds(2000), routers), 1) << routers;
        EXPECT_EQ(readersAfter(milliseconds(4000), routers), routers);
    }
}

// Guards against a change of the configuration that the few routers of a small fleet, or those left
// after a failure, do not notice for longer than its deadline because none of them reads the store.
TEST(ReaderElection, OneOfFewRoutersReadsWithinTheStartOfEachOfThem)
{
    constexpr milliseconds LongestWait{2500};
    int without = 0;
    for (int first = 0; first < 300; first += 3) {
        bool reads = false;
        for (int router = first; router < first + 3; ++router) {
            const ReaderElection election("front-" + std::to_string(router), milliseconds(4000));
            reads = reads || !election.inStartupGrace(Start, Start + LongestWait);
        }
        without += reads ? 0 : 1;
    }
    EXPECT_EQ(without, 0);
}

TEST(ReaderElection, AfterACommonStartMostRoutersWaitForTheFirstUpdates)
{
    EXPECT_LT(readersAfter(milliseconds(1000), 300), 40);
    EXPECT_LT(readersAfter(milliseconds(2000), 300), 100);
}

TEST(ReaderElection, TwoLiveRoutersOfLowerRankKeepTheOthersFromReading)
{
    ReaderElection election("front-1", milliseconds(4000));
    int lower = 0;
    for (int router = 2; router < 300; ++router) {
        election.recordUpdate("front-" + std::to_string(router), Start);
        lower += election.isReader(Start) ? 0 : 1;
    }
    EXPECT_GT(lower, 0);
    EXPECT_FALSE(election.isReader(Start + milliseconds(1000)));
    EXPECT_TRUE(election.isReader(Start + milliseconds(2000)));
}

} // namespace almondmill::test
