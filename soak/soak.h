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
    std::chrono::milliseconds recovery{15000}; ///< Without faults, after them.
    std::size_t routers = 4;
    std::size_t callers = 24;
    std::string folder; ///< For settings and logs of the routers.
};

/// What a soak showed.
struct SoakReport
{
    std::vector<Violation> requestViolations; ///< Hold at any time.
    std::vector<Violation> boundViolations;   ///< Of time bounds, recovery and processes.
    std::size_t attempts = 0;
    std::size_t answered = 0; ///< With success.
    std::size_t runs = 0;
    std::size_t orders = 0;
    std::size_t checkedAtCalm = 0; ///< Attempts to which time bounds applied.
};

/// Runs routers as processes, disturbs them by the seed's faults while callers send requests, and
/// checks what callers and endpoints saw. Recovery is checked when there is time for it.
SoakReport runSoak(const SoakOptions &options);

} // namespace almondmill::soak
