// Guards against more requests to an endpoint than the limit that it names for all routers
// together.

#include "soak/soak.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <string>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;

// Positions of endpoints in a soak: three of each plain service in turn, then the engines.
constexpr std::size_t FirstDesk = 0;
constexpr std::size_t SecondDesk = 2;
constexpr std::size_t FirstEngine = 6;
constexpr std::size_t SecondEngine = 7;

SoakReport runWith(const std::string &name, std::vector<PlannedFault> faults)
{
    SoakOptions options;
    options.faults = std::move(faults);
    options.recovery = milliseconds(0);
    options.routers = 6;
    options.callers = 40;
    options.endpointsPause = false;
    const auto folder = std::filesystem::temp_directory_path() / ("almondmill-limits-" + name);
    std::filesystem::create_directories(folder);
    options.folder = folder;
    return runSoak(options);
}

void expectNoViolation(const SoakReport &report)
{
    for (const Violation &violation : report.requestViolations)
        ADD_FAILURE() << violation.check << ": " << violation.text;
    for (const Violation &violation : report.boundViolations) {
        if (violation.check == "rate-limit")
            ADD_FAILURE() << violation.text;
    }
}

} // namespace

// Issue 28: endpoints got many times the limit that they had named, because each router sent as
// before.
TEST(RateLimits, TheRequestsOfAllRoutersTogetherStayWithinAnEndpointsLimit)
{
    constexpr milliseconds Duration{9000};
    const SoakReport report =
            runWith("sum", {{milliseconds(300), LimitRate{FirstDesk, 2, Duration}},
                            {milliseconds(300), LimitRate{SecondDesk, 1, Duration}},
                            {milliseconds(300), LimitRate{FirstEngine, 3, Duration}},
                            {milliseconds(300), LimitRate{SecondEngine, 0, Duration}}});
    expectNoViolation(report);
    // The endpoints without a limit take the rest.
    EXPECT_LE(report.refused * 100, report.attempts);
}

// Issue 28: the same while routers end and others start, so that the limit's share of each changes.
TEST(RateLimits, TheSumHoldsWhileRoutersAreStoppedAndKilled)
{
    constexpr milliseconds Duration{11000};
    const SoakReport report =
            runWith("stops", {{milliseconds(300), LimitRate{FirstDesk, 2, Duration}},
                              {milliseconds(300), LimitRate{FirstEngine, 3, Duration}},
                              {milliseconds(2500), KillRouter{0, milliseconds(500)}},
                              {milliseconds(4000), StopRouter{1}},
                              {milliseconds(5000), KillRouter{2, milliseconds(1000)}},
                              {milliseconds(6500), KillRouter{3, milliseconds(200)}}});
    expectNoViolation(report);
}

} // namespace almondmill::soak
