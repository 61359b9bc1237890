// Guards against a read of the store by every router for each of many configuration versions that
// follow each other quickly.

#include "almondmill/directory/refreshlimiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr milliseconds Interval{1000};

/// Times of the reads that the reports cause, in milliseconds after the start.
std::vector<milliseconds> readsFor(const std::vector<milliseconds> &reports)
{
    RefreshLimiter limiter(Interval);
    std::vector<milliseconds> reads;
    for (const milliseconds report : reports) {
        if (const auto delay = limiter.reported(Start + report))
            reads.push_back(report + *delay);
    }
    return reads;
}

} // namespace

TEST(RefreshLimiter, ASingleReportIsFollowedByAReadAtOnce)
{
    EXPECT_EQ(readsFor({milliseconds(70), milliseconds(5000)}),
              (std::vector<milliseconds>{milliseconds(70), milliseconds(5000)}));
}

TEST(RefreshLimiter, AStormOfVersionsCausesOneReadAnInterval)
{
    constexpr std::size_t Versions = 27;
    constexpr milliseconds VersionInterval{220};
    std::vector<milliseconds> reports(Versions);
    for (std::size_t version = 0; version < Versions; ++version)
        reports[version] = VersionInterval * version;
    const auto reads = readsFor(reports);
    // One at once and one for each interval that has begun since.
    EXPECT_LE(reads.size(), 1 + (reports.back() + Interval - milliseconds(1)) / Interval);
    EXPECT_GE(reads.back(), reports.back());
}

RC_GTEST_PROP(RefreshLimiter, EveryReportIsFollowedByAReadWithinTheInterval, ())
{
    auto times =
            *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>());
    std::sort(times.begin(), times.end());
    const std::vector<milliseconds> reports(times.begin(), times.end());
    const auto reads = readsFor(reports);
    for (const milliseconds report : reports) {
        RC_ASSERT(std::any_of(reads.begin(), reads.end(), [&](milliseconds read) {
            return read >= report && read <= report + Interval;
        }));
    }
    for (std::size_t i = 1; i < reads.size(); ++i)
        RC_ASSERT(reads[i] - reads[i - 1] >= Interval);
}

} // namespace almondmill::test
