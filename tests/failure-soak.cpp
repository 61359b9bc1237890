// A short fault soak with fixed seeds: under all faults no request that may not be retried is
// executed twice, and each answer belongs to its caller's request. Only almondmill-soak checks time
// bounds.

#include "soak/soak.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <string>

namespace almondmill::soak {

namespace {

class ShortSoak : public testing::TestWithParam<std::uint64_t>
{
protected:
    static void run(bool storeReturns);
};

} // namespace

void ShortSoak::run(bool storeReturns)
{
    SoakOptions options;
    options.seed = GetParam();
    options.storeReturns = storeReturns;
    options.faultsFor = std::chrono::seconds(6);
    options.recovery = std::chrono::milliseconds(0);
    options.routers = 3;
    options.callers = 12;
    // Tests run side by side, each with its routers' settings.
    const std::string kind = storeReturns ? "returns-" : "faults-";
    const auto folder = std::filesystem::temp_directory_path()
                        / ("almondmill-short-soak-" + kind + std::to_string(options.seed));
    std::filesystem::create_directories(folder);
    options.folder = folder;
    const SoakReport report = runSoak(options);
    for (const Violation &violation : report.requestViolations)
        ADD_FAILURE() << violation.check << ": " << violation.text;
    EXPECT_GT(report.runs, 0U);
}

TEST_P(ShortSoak, RequestChecksHoldUnderFaults)
{
    run(false);
}

TEST_P(ShortSoak, RequestChecksHoldWhenTheStoreReturnsToCopies)
{
    run(true);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortSoak, testing::Values(1, 2));

} // namespace almondmill::soak
