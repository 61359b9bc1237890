// Guards against rate limits that are undone by answers from before them, or that outlast their
// end.

#include "almondmill/forward/ratelimits.h"
#include "almondmill/forward/statedratelimit.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

RateLimitStatement statement(std::optional<double> perSecond, int askedMs, int heardMs)
{
    return {perSecond, Start + milliseconds(askedMs), Start + milliseconds(heardMs)};
}

} // namespace

TEST(StatedRateLimit, BeginsChangesAndEnds)
{
    StatedRateLimit limit;
    EXPECT_EQ(limit.record(statement(std::nullopt, 0, 10)), RateLimitChange::None);
    EXPECT_EQ(limit.record(statement(4, 20, 30)), RateLimitChange::Began);
    EXPECT_EQ(limit.perSecond(), 4.0);
    EXPECT_EQ(limit.record(statement(4, 40, 50)), RateLimitChange::None);
    EXPECT_EQ(limit.record(statement(5.5, 60, 70)), RateLimitChange::Changed);
    EXPECT_EQ(limit.perSecond(), 5.5);
    EXPECT_EQ(limit.record(statement(std::nullopt, 80, 90)), RateLimitChange::Ended);
    EXPECT_EQ(limit.perSecond(), std::nullopt);
    EXPECT_EQ(limit.record(statement(0, 100, 110)), RateLimitChange::Began);
    EXPECT_EQ(limit.perSecond(), 0.0);
}

TEST(StatedRateLimit, AnAnswerThatWasAskedForBeforeTheLimitWasHeardDoesNotEaseIt)
{
    StatedRateLimit limit;
    limit.record(statement(2, 100, 200));
    EXPECT_EQ(limit.record(statement(std::nullopt, 150, 400)), RateLimitChange::None);
    EXPECT_EQ(limit.record(statement(3, 200, 400)), RateLimitChange::None);
    EXPECT_EQ(limit.record(statement(3, 201, 400)), RateLimitChange::Changed);
}

TEST(StatedRateLimit, ALowerLimitAppliesUnlessItIsCertainlyOlder)
{
    StatedRateLimit limit;
    limit.record(statement(4, 100, 200));
    limit.record(statement(std::nullopt, 300, 400));
    EXPECT_EQ(limit.record(statement(1, 200, 300)), RateLimitChange::None);
    EXPECT_EQ(limit.record(statement(1, 200, 350)), RateLimitChange::Began);
    EXPECT_EQ(limit.record(statement(0.5, 10, 360)), RateLimitChange::Changed);
}

// Whatever the order in which two routers hear of them, they agree on statements that don't
// overlap.
RC_GTEST_PROP(StatedRateLimitProperty, StatementsThatDoNotOverlapApplyInAnyOrder, ())
{
    const auto rates = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 4));
    std::vector<RateLimitStatement> statements;
    int at = 0;
    for (const int rate : rates) {
        statements.push_back(
                statement(rate == 0 ? std::nullopt : std::optional<double>(rate), at, at + 5));
        at += 10;
    }
    StatedRateLimit inOrder;
    for (const RateLimitStatement &one : statements)
        inOrder.record(one);
    StatedRateLimit lastFirst;
    for (auto one = statements.rbegin(); one != statements.rend(); ++one)
        lastFirst.record(*one);
    if (statements.back().perSecond)
        RC_ASSERT(lastFirst.perSecond() == statements.back().perSecond);
    RC_ASSERT(inOrder.perSecond() == statements.back().perSecond);
}

TEST(RateLimits, AnotherIncarnationHasNoLimit)
{
    RateLimits limits;
    limits.record({1, statement(2, 0, 10)}, RateLimits::Source::Peer);
    EXPECT_EQ(limits.perSecond(1), 2.0);
    EXPECT_EQ(limits.perSecond(2), std::nullopt);
    EXPECT_EQ(limits.limitedCount(), 1U);
}

TEST(RateLimits, TheNumberOfIncarnationsIsBounded)
{
    RateLimits limits;
    for (std::size_t key = 0; key <= RateLimits::MaxEndpoints; ++key)
        limits.record({key, statement(2, 0, static_cast<int>(key))}, RateLimits::Source::Peer);
    EXPECT_EQ(limits.limitedCount(), RateLimits::MaxEndpoints);
    EXPECT_EQ(limits.perSecond(0), std::nullopt);
    EXPECT_EQ(limits.perSecond(RateLimits::MaxEndpoints), 2.0);
}

} // namespace almondmill::test
