// Estimated time for which engines cache unused parts, depending on the load that evicts them.

#include "almondmill/forward/cacheturnover.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr double MemoryTokens = 1800000;

/// Adds `tokens` ten times a second for 20 s; returns the time of the last call.
SteadyTime sendSteadily(CacheTurnover &turnover, double tokens)
{
    constexpr int Sends = 200;
    for (int send = 0; send < Sends; ++send)
        turnover.addTokens(tokens, Start + milliseconds(100) * send);
    return Start + milliseconds(100) * (Sends - 1);
}

} // namespace

TEST(CacheTurnover, RetentionIsAtItsMaximumWithoutLoad)
{
    const CacheTurnover turnover;
    EXPECT_EQ(turnover.retention(MemoryTokens, 14, Start), seconds(40));
}

TEST(CacheTurnover, RetentionDependsOnMemoryAndOnTheTokensOfAllRouters)
{
    CacheTurnover turnover;
    const SteadyTime now = sendSteadily(turnover, 1000);
    // 10,000 tokens per second from each of 14 routers fill 1.35 million tokens in 9.6 s.
    const auto retention = turnover.retention(MemoryTokens, 14, now);
    EXPECT_GT(retention, milliseconds(8700));
    EXPECT_LT(retention, milliseconds(10600));
    EXPECT_GT(turnover.retention(2 * MemoryTokens, 14, now), retention);
    EXPECT_LT(turnover.retention(MemoryTokens, 28, now), retention);
}

TEST(CacheTurnover, TheEffectOfABurstDecays)
{
    CacheTurnover turnover;
    const SteadyTime now = sendSteadily(turnover, 5000);
    EXPECT_LT(turnover.retention(MemoryTokens, 14, now), seconds(3));
    EXPECT_GT(turnover.retention(MemoryTokens, 14, now + seconds(20)), seconds(30));
}

} // namespace almondmill::test
