#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// The present time, for those who call what decides and pass it on.
inline SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace almondmill
