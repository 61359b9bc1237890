#pragma once

#include "soakhistory.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace almondmill::soak {

/// Time bounds that the routers' settings guarantee.
struct SoakBounds
{
    /// Time without a disturbance after which time bounds apply.
    std::chrono::milliseconds settleTime{3000};
    std::chrono::milliseconds configuration{2000};
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds weights{8000};
    std::chrono::milliseconds leaseHandoverInterval{3000};
    std::chrono::milliseconds pauseNotice{500}; ///< From a refusal with a pause until it binds.
    std::size_t maxRequestsInPause = 2;
    std::chrono::milliseconds rateLimitNotice{
            500}; ///< From an answer that names it until it binds.
    std::chrono::milliseconds rateLimitWindow{4000};
    double rateLimitFactor = 1.5;   ///< Of what the limit allows in a window, for the burst.
    std::size_t rateLimitSlack = 5; ///< Requests in a window beside that.
    std::chrono::milliseconds lateAnswerTolerance{500}; ///< Beyond the request's timeout.
};

/// Violations of what must hold even during faults: runs and answers belong to the caller's
/// request, and no request that may not be retried is executed twice.
std::vector<Violation> checkRequests(const SoakHistory &history);

/// Violations of the time bounds at routers without a disturbance.
std::vector<Violation> checkBounds(const SoakHistory &history, const SoakBounds &bounds);

/// Violations of what endpoints stated about themselves: requests to an endpoint that leaves, or
/// that asked for a pause, from the router that it told so; more requests than an endpoint's limit
/// allows from all routers that it told.
std::vector<Violation> checkStatements(const SoakHistory &history, const SoakBounds &bounds);

} // namespace almondmill::soak
