#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// Returns the time since the VM booted, including time suspended. Used for leases, which also
/// expire while the VM is suspended. Not comparable with values of the steady clock.
SteadyTime bootTime();

} // namespace almondmill
