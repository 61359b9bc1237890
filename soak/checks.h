#pragma once

#include "soakhistory.h"

#include <chrono>
#include <vector>

namespace almondmill::soak {

/// Bounds that the settings of the routers promise.
struct SoakBounds
{
    std::chrono::milliseconds settle{3000}; ///< Without a disturbance before time bounds hold.
    std::chrono::milliseconds configuration{2000};
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds weights{8000};
    std::chrono::milliseconds leaseHandoverInterval{3000};
    std::chrono::milliseconds lateAnswer{500}; ///< Beyond a caller's patience.
};

/// What did not hold in `history`, whatever was disturbed: runs and answers are the caller's own,
/// and no request runs more often than it may.
std::vector<Violation> checkRequests(const SoakHistory &history);

/// What did not hold of the bounds, at routers that nothing disturbed.
std::vector<Violation> checkBounds(const SoakHistory &history, const SoakBounds &bounds);

} // namespace almondmill::soak
