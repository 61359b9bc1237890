// The fault soak: runs router processes and injects the faults of a seed from outside.

#include "soak.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <iostream>
#include <random>

namespace {

using namespace almondmill::soak;

/// Runs one seed; returns whether there was no violation. Keeps the logs of a seed with violations.
bool runSeed(SoakOptions options)
{
    const auto folder = std::filesystem::temp_directory_path()
                        / ("almondmill-soak-" + std::to_string(options.seed));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    options.folder = folder;
    std::cout << "seed " << options.seed << std::endl;
    const SoakReport report = runSoak(options);
    std::vector<Violation> violations = report.requestViolations;
    violations.insert(violations.end(), report.boundViolations.begin(),
                      report.boundViolations.end());
    for (const Violation &violation : violations)
        std::cout << "VIOLATION " << violation.check << ": " << violation.text << "\n";
    std::cout << "seed " << options.seed << ": " << report.attempts << " requests, "
              << report.answered << " served, " << report.runs << " runs, " << report.orders
              << " orders, " << report.checkedForBounds << " requests under time bounds, "
              << violations.size() << " violations" << std::endl;
    if (violations.empty())
        std::filesystem::remove_all(folder);
    else
        std::cout << "logs kept in " << folder.string() << std::endl;
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Randomized fault soak of router processes on loopback");
    SoakOptions options;
    std::uint64_t first = 0;
    std::uint64_t count = 1;
    std::int64_t seconds = 20;
    app.add_option("--seed", first, "first seed; a random one when 0");
    app.add_option("--count", count, "seeds to run, one after the other")
            ->check(CLI::Range(1, 1000));
    app.add_option("--seconds", seconds, "time in which faults begin, s")
            ->check(CLI::Range(1, 3600));
    app.add_option("--routers", options.routers, "router processes")->check(CLI::Range(1, 100));
    app.add_option("--callers", options.callers, "number of concurrent callers")
            ->check(CLI::Range(1, 1000));
    app.add_flag("--returns", options.storeReturns, "the store also returns to older copies");
    CLI11_PARSE(app, argc, argv);
    options.faultsFor = std::chrono::seconds(seconds);
    std::size_t failed = 0;
    for (std::uint64_t number = 0; number < count; ++number) {
        options.seed = first == 0 ? std::random_device()() : first + number;
        failed += runSeed(options) ? 0 : 1;
    }
    std::cout << failed << " of " << count << " seeds with violations" << std::endl;
    return failed == 0 ? 0 : 1;
}
