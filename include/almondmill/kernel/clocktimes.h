#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// The present time on the clocks that one decision needs.
struct ClockTimes
{
    SteadyTime steady;
    SteadyTime boot; ///< Continues while the VM is suspended.

    /// Reads both clocks.
    static ClockTimes now();
};

} // namespace almondmill
