// Refusals of requests that would wait too long for a slot, by routers that decide on their own and
// on late reports: that they don't swing between all and nothing, and help those that are served.

#include "almondmill/admission/admissioncontrol.h"

#include "almondmill/admission/fairshares.h"

#include "support/slotfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr milliseconds BurstStart{4000};
constexpr milliseconds BurstEnd{22000};
constexpr seconds Duration{40};

std::function<double(milliseconds)> burst(double usual, double high)
{
    return [=](milliseconds at) { return at >= BurstStart && at < BurstEnd ? high : usual; };
}

/// Short urgent prompts and long less urgent ones, which need 1.3 times the slots in the burst.
std::vector<DemandSource> prompts()
{
    return {{"a", 0, milliseconds(500), milliseconds(450), burst(227, 480)},
            {"a", 1, milliseconds(1500), milliseconds(2800), burst(230, 480)}};
}

std::vector<SourceResult> run(std::size_t routers, double slots, bool admits,
                              const std::vector<DemandSource> &sources)
{
    return SlotFleet(routers, slots, admits, routers).run(sources, Duration);
}

class AdmissionOfFleet : public testing::TestWithParam<std::size_t>
{};

} // namespace

INSTANTIATE_TEST_SUITE_P(Routers, AdmissionOfFleet, testing::Values(14, 114, 320));

TEST_P(AdmissionOfFleet, ABurstIsServedInTimeWithoutSwinging)
{
    const auto with = run(GetParam(), 1200, true, prompts());
    const auto without = run(GetParam(), 1200, false, prompts());
    EXPECT_EQ(with[0].refused, 0U);
    EXPECT_LT(with[0].late, with[0].offered / 50);
    EXPECT_GT(with[1].inTime, without[1].inTime + without[1].offered / 10);
    EXPECT_GT(with[1].inTime + with[1].late, without[1].offered * 3 / 4);
    double highest = 0;
    for (const auto &[second, counts] : with[1].bySecond) {
        const double share = static_cast<double>(counts.second) / static_cast<double>(counts.first);
        highest = std::max(highest, share);
        EXPECT_TRUE(seconds(second) <= BurstEnd + seconds(6) || counts.second == 0) << second;
    }
    EXPECT_LT(highest, 0.8);
}

TEST_P(AdmissionOfFleet, NothingIsRefusedBelowTheSlots)
{
    const auto results = run(GetParam(), 2000, true, prompts());
    EXPECT_EQ(results[0].refused + results[1].refused, 0U);
}

// One account at ten times its usual demand loses its own requests first.
TEST_P(AdmissionOfFleet, TheAccountThatFloodsIsRefusedFirst)
{
    std::vector<DemandSource> sources;
    sources.reserve(8);
    for (int account = 0; account < 8; ++account)
        sources.push_back({"a" + std::to_string(account), 1, milliseconds(1500), milliseconds(2400),
                           burst(30, account == 0 ? 300 : 30)});
    const auto results = run(GetParam(), 800, true, sources);
    const auto refusedShare = [&](std::size_t at) {
        return static_cast<double>(results[at].refused) / static_cast<double>(results[at].offered);
    };
    double others = 0;
    for (std::size_t at = 1; at < sources.size(); ++at)
        others += refusedShare(at) / static_cast<double>(sources.size() - 1);
    EXPECT_GT(refusedShare(0), 0.2);
    EXPECT_LT(others, refusedShare(0) / 2);
}

TEST_P(AdmissionOfFleet, ThePlainServiceKeepsItsTarget)
{
    const std::vector<DemandSource> calls{
            {"a", 0, milliseconds(300), milliseconds(60), burst(152, 600)}};
    const auto with = run(GetParam(), 24, true, calls);
    const auto without = run(GetParam(), 24, false, calls);
    EXPECT_GT(with[0].inTime, without[0].inTime);
    EXPECT_GT(with[0].inTime + with[0].late, with[0].offered / 2);
}

RC_GTEST_PROP(AdmissionControl, NothingIsRefusedWhileSlotsAreFree, ())
{
    ServiceLoad load;
    load.slots = *rc::gen::inRange(1, 2000);
    load.residence = std::chrono::duration<double, std::milli>(*rc::gen::inRange(1, 5000));
    const std::size_t level = *rc::gen::inRange<std::size_t>(0, ServiceLoad::Levels);
    load.openByLevel[*rc::gen::inRange<std::size_t>(0, ServiceLoad::Levels)] =
            *rc::gen::inRange(0, static_cast<int>(load.slots));
    const AdmissionRequest request{level, milliseconds(*rc::gen::inRange(0, 2000)),
                                   *rc::gen::arbitrary<std::uint64_t>(), AccountShare::Exceeding};
    RC_ASSERT(!AdmissionControl::refusal(load, request));
}

TEST(AdmissionControl, TheMoreUrgentWaitLessAndAreToldSpreadTimes)
{
    ServiceLoad load;
    load.slots = 100;
    load.residence = milliseconds(1000);
    load.openByLevel[0] = 50;
    load.openByLevel[3] = 250;
    EXPECT_EQ(load.expectedWait(0).count(), 0);
    EXPECT_EQ(load.expectedWait(2).count(), 0);
    EXPECT_NEAR(static_cast<double>(load.expectedWait(3).count()), 4020, 10);
    const auto first = AdmissionControl::refusal(load, {3, milliseconds(500), 1, {}});
    const auto last = AdmissionControl::refusal(load, {3, milliseconds(500), ~0ULL - 4096, {}});
    ASSERT_TRUE(first && last);
    EXPECT_EQ(*first, load.expectedWait(3));
    EXPECT_GT(*last, *first * 19 / 10);
}

TEST(FairShares, OnlyAccountsBeyondAnEqualPartOfWhatIsLeftExceed)
{
    FairShares shares;
    for (int second = 0; second < 100; ++second) {
        shares.record("small", seconds(1), Start + seconds(second));
        shares.record("large", seconds(20), Start + seconds(second));
    }
    const SteadyTime now = Start + seconds(99);
    EXPECT_EQ(shares.shareOf("large", 8, now), AccountShare::Exceeding);
    EXPECT_EQ(shares.shareOf("small", 8, now), AccountShare::Within);
    EXPECT_EQ(shares.shareOf("large", 40, now), AccountShare::Even);
    EXPECT_EQ(shares.shareOf("unknown", 1, now), AccountShare::Even);
}

} // namespace almondmill::test
