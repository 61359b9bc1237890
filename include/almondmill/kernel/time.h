#pragma once

#include <chrono>

namespace almondmill {

/// Time on the steady clock, for timeouts, leases and rates. Not comparable between processes.
using SteadyTime = std::chrono::steady_clock::time_point;

/// Time on the wall clock, for output to operators and for the expiry of stored objects.
using WallTime = std::chrono::system_clock::time_point;

} // namespace almondmill
