#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// Returns the current time, for callers of functions that take the time as a parameter.
inline SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace almondmill
