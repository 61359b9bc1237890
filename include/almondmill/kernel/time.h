#pragma once

#include <chrono>

namespace almondmill {

/// A point on the steady clock: for timeouts, leases and rates. Never compared between processes.
using SteadyTime = std::chrono::steady_clock::time_point;

/// A point on the wall clock: for what operators read and for the expiry of stored objects.
using WallTime = std::chrono::system_clock::time_point;

} // namespace almondmill
