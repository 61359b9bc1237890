// Guards the quotas of accounts that all routers keep together: that the sum which they admit in
// any 8 s stays within the bound that users state, whatever ends, starts or is cut off, and that
// nothing within a quota is refused in calm.

#include "support/quotafleet.h"

#include "almondmill/peers/quotamessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr AccountQuota Large{1'392'995, 1'392'995, true, 200};
constexpr AccountQuota Small{29'000, 29'000, true, 200};

/// Ten times the usual demand, of which the quota is 1.8 times.
constexpr double Flood = 5.5;
constexpr double Loss = 0.025;

class AccountQuotas : public testing::TestWithParam<std::size_t>
{
protected:
    static QuotaFleet::Options flooded()
    {
        return {.routers = GetParam(),
                .lostRatio = Loss,
                .quotas = {Large, Small},
                .demand = Flood};
    }

    static QuotaFleet::Options calm()
    {
        auto options = flooded();
        options.demand = 0.55;
        return options;
    }

    /// Also records what was measured, for the report of the run.
    static void expectBounded(const QuotaFleet &fleet)
    {
        for (std::size_t account = 0; account < fleet.quotas().size(); ++account) {
            const double allowed = QuotaFleet::allowedInWindow(fleet.quotas()[account]);
            EXPECT_LE(fleet.mostInWindow(account), allowed);
            RecordProperty("part_of_bound_" + std::to_string(account),
                           std::to_string(fleet.mostInWindow(account) / allowed));
        }
        RecordProperty("refused", std::to_string(fleet.refused({}, seconds(200))));
        RecordProperty("decided", std::to_string(fleet.decided()));
        RecordProperty("bytes_average", std::to_string(fleet.averageBytesPerSecond()));
        RecordProperty("bytes_most", std::to_string(fleet.mostBytesPerSecond()));
        RecordProperty("wait_median_ms", std::to_string(fleet.wait(0.5).count()));
        RecordProperty("wait_99_9_ms", std::to_string(fleet.wait(0.999).count()));
    }

    /// Half of the routers end and start again within 2 s.
    static void restartHalf(QuotaFleet &fleet)
    {
        const std::size_t half = GetParam() / 2;
        for (std::size_t router = 0; router < half; ++router) {
            const milliseconds killed(10'000 + 2000 * router / half);
            fleet.at(killed, [&fleet, router] { fleet.kill(router); });
            fleet.at(killed + milliseconds(700), [&fleet, router] { fleet.start(router); });
        }
    }

    static void expectFewRefused(const QuotaFleet &fleet)
    {
        EXPECT_LE(static_cast<double>(fleet.refused({}, seconds(200))),
                  0.01 * static_cast<double>(fleet.decided()));
    }
};

std::string nameOf(const testing::TestParamInfo<std::size_t> &info)
{
    return std::to_string(info.param) + "Routers";
}

} // namespace

TEST_P(AccountQuotas, NothingOfALargeAccountIsRefusedInCalm)
{
    auto options = calm();
    options.quotas = {Large};
    QuotaFleet fleet(options);
    fleet.run(seconds(20));
    expectBounded(fleet);
    EXPECT_EQ(fleet.refused({}, seconds(20)), 0U);
    EXPECT_LE(fleet.wait(0.9), milliseconds(3));
}

// A small quota refuses some of the longest prompts also in calm, as one bucket would. What a lost
// reply granted is taken once more.
TEST_P(AccountQuotas, ASmallAccountIsRefusedInCalmWhatOneBucketWouldRefuse)
{
    auto options = calm();
    options.quotas = {Small};
    QuotaFleet fleet(options);
    fleet.run(seconds(120));
    expectBounded(fleet);
    RecordProperty("refused_by_one_bucket", std::to_string(fleet.refusedByOneBucket()));
    EXPECT_LE(static_cast<double>(fleet.refused({}, seconds(120))),
              static_cast<double>(fleet.refusedByOneBucket())
                      + 0.02 * static_cast<double>(fleet.decided()));
}

TEST_P(AccountQuotas, AFloodIsServedUpToTheQuota)
{
    QuotaFleet fleet(flooded());
    fleet.run(seconds(20));
    expectBounded(fleet);
    EXPECT_GE(fleet.admitted(0, seconds(4), seconds(20)), 0.9 * 16 * Large.perSecond);
    EXPECT_GE(fleet.admitted(1, seconds(4), seconds(20)), 0.8 * 16 * Small.perSecond);
}

// Guards against a full bucket at each new issuer.
TEST_P(AccountQuotas, TheSumHoldsWhenIssuersEnd)
{
    QuotaFleet fleet(flooded());
    for (const milliseconds time : {seconds(8), seconds(11), seconds(14)}) {
        fleet.at(time, [&] {
            fleet.kill(fleet.issuerOf(0));
            fleet.kill(fleet.issuerOf(1));
        });
    }
    fleet.run(seconds(24));
    expectBounded(fleet);
}

TEST_P(AccountQuotas, FewAreRefusedInCalmWhenAnIssuerEnds)
{
    auto options = calm();
    options.quotas = {Large};
    QuotaFleet fleet(options);
    fleet.at(seconds(8), [&] { fleet.kill(fleet.issuerOf(0)); });
    fleet.run(seconds(20));
    expectBounded(fleet);
    expectFewRefused(fleet);
}

// Guards against routers that don't know their peers yet and admit as if they were alone.
TEST_P(AccountQuotas, TheSumHoldsWhenHalfOfTheFleetRestarts)
{
    QuotaFleet fleet(flooded());
    restartHalf(fleet);
    fleet.run(seconds(24));
    expectBounded(fleet);
}

TEST_P(AccountQuotas, FewAreRefusedInCalmWhenHalfOfTheFleetRestarts)
{
    auto options = calm();
    options.quotas = {Large};
    QuotaFleet fleet(options);
    restartHalf(fleet);
    fleet.run(seconds(24));
    expectBounded(fleet);
    expectFewRefused(fleet);
}

TEST_P(AccountQuotas, TheSumHoldsWhenTheWholeFleetStarts)
{
    auto options = flooded();
    options.knowEachOther = false;
    QuotaFleet fleet(options);
    fleet.run(seconds(16));
    expectBounded(fleet);
}

// Guards against parts of a fleet that each admit the whole quota.
TEST_P(AccountQuotas, TheSumHoldsWhenAThirdIsCutOff)
{
    for (const bool hasIssuer : {false, true}) {
        QuotaFleet fleet(flooded());
        const std::size_t issuer = fleet.issuerOf(0);
        const auto setGroups = [&](int group) {
            for (std::size_t router = 0; router < GetParam() / 3; ++router)
                fleet.setGroup(router, group);
            fleet.setGroup(issuer, hasIssuer ? group : 0);
        };
        fleet.at(seconds(10), [&] { setGroups(1); });
        fleet.at(seconds(22), [&] { setGroups(0); });
        fleet.run(seconds(32));
        expectBounded(fleet);
    }
}

TEST_P(AccountQuotas, ALoweredLimitHoldsOnceAllRoutersHaveIt)
{
    QuotaFleet fleet(flooded());
    AccountQuota lowered = Large;
    lowered.perSecond /= 10;
    lowered.burst /= 10;
    for (std::size_t router = 0; router < GetParam(); ++router)
        fleet.at(milliseconds(8000 + 3000 * router / GetParam()),
                 [&fleet, lowered, router] { fleet.setQuota(router, 0, lowered); });
    fleet.run(seconds(24));
    EXPECT_LE(fleet.mostInWindow(0, milliseconds(11'000)), QuotaFleet::allowedInWindow(lowered));
}

INSTANTIATE_TEST_SUITE_P(Sizes, AccountQuotas, testing::Values(14, 114, 320), nameOf);

// Control traffic of a router is bounded by 2 KB/s at 320 routers and 4,800 requests per second.
TEST(AccountQuotasBytes, StayBoundedWith14000Accounts)
{
    constexpr std::size_t Accounts = 14'000;
    constexpr AccountQuota Quota{1.0, 20, false, 0};
    QuotaFleet fleet({.routers = 320,
                      .lostRatio = Loss,
                      .quotas = std::vector(Accounts, Quota),
                      .demand = 4800.0 / Accounts});
    fleet.run(seconds(10));
    EXPECT_EQ(fleet.refused({}, seconds(10)), 0U);
    RecordProperty("bytes_average", std::to_string(fleet.averageBytesPerSecond()));
    RecordProperty("bytes_most", std::to_string(fleet.mostBytesPerSecond()));
    EXPECT_LE(fleet.averageBytesPerSecond(), 2000);
}

RC_GTEST_PROP(QuotaMessages, ArbitraryBytesAreNoMessages, ())
{
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RC_ASSERT(!decodeQuotaQuestion(bytes));
    RC_ASSERT(!decodeQuotaReply(bytes));
    RC_ASSERT(!decodeReachProbe(bytes));
    RC_ASSERT(!decodeReachReply(bytes));
}

} // namespace almondmill::test
