// For how long engines keep what nobody uses, by the load that pushes it out.

#include "almondmill/forward/cacheturnover.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr double MemoryTokens = 1800000;

/// Sends `tokens` ten times a second for 20 s; returns the end.
SteadyTime sendSteadily(CacheTurnover &turnover, double tokens)
{
    constexpr int Sends = 200;
    for (int send = 0; send < Sends; ++send)
        turnover.add(tokens, Start + milliseconds(100) * send);
    return Start + milliseconds(100) * (Sends - 1);
}

} // namespace

TEST(CacheTurnover, WithoutLoadPartsStayForLong)
{
    const CacheTurnover turnover;
    EXPECT_EQ(turnover.lifetime(MemoryTokens, 14, Start), seconds(40));
}

TEST(CacheTurnover, MemoryIsTurnedOverByWhatAllRoutersSend)
{
    CacheTurnover turnover;
    const SteadyTime now = sendSteadily(turnover, 1000);
    // 10,000 tokens a second by each of 14 routers fill 1.35 M tokens in 9.6 s.
    const auto lifetime = turnover.lifetime(MemoryTokens, 14, now);
    EXPECT_GT(lifetime, milliseconds(8700));
    EXPECT_LT(lifetime, milliseconds(10600));
    EXPECT_GT(turnover.lifetime(2 * MemoryTokens, 14, now), lifetime);
    EXPECT_LT(turnover.lifetime(MemoryTokens, 28, now), lifetime);
}

TEST(CacheTurnover, ABurstIsForgotten)
{
    CacheTurnover turnover;
    const SteadyTime now = sendSteadily(turnover, 5000);
    EXPECT_LT(turnover.lifetime(MemoryTokens, 14, now), seconds(3));
    EXPECT_GT(turnover.lifetime(MemoryTokens, 14, now + seconds(20)), seconds(30));
}

} // namespace almondmill::test
