#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// The time since the VM's start with the time that it was suspended: for leases, which go on
/// meanwhile. Never compared with the steady clock.
SteadyTime bootTime();

} // namespace almondmill
