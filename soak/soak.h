#pragma once

#include "checks.h"
#include "faultplan.h"
#include "soakhistory.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill::soak {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds faultsFor{20000};
    std::chrono::milliseconds recovery{15000}; ///< Time without faults after them.
    std::size_t routers = 4;
    std::size_t callers = 24;
    bool endpointsPause = true; ///< Endpoints ask for pauses at random.
    bool storeReturns = false;  ///< The store also returns to older copies.
    /// The faults to inject; those of the seed when empty.
    std::vector<PlannedFault> faults;
    std::string folder; ///< For the routers' settings and logs.
};

/// Results of a soak.
struct SoakReport
{
    std::vector<Violation> requestViolations; ///< Of checks that hold at any time.
    std::vector<Violation> boundViolations;   ///< Of time bounds, recovery and router processes.
    std::size_t attempts = 0;
    std::size_t answered = 0; ///< Completely and with status 200.
    std::size_t refused = 0;  ///< With status 503.
    std::size_t runs = 0;
    std::size_t orders = 0;
    std::size_t checkedForBounds = 0; ///< Attempts to which time bounds apply.
};

/// Runs routers as processes, injects the seed's faults while callers send requests, and checks
/// what callers and endpoints observed. Recovery is checked when `options.recovery` exceeds its
/// bound.
SoakReport runSoak(const SoakOptions &options);

} // namespace almondmill::soak
