#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

struct Registration;

/// Whether an incarnation that this router sees for the first time may have just started: by its
/// registration's start time or because the service has been known here for longer than the first
/// list of endpoints takes. A router that starts itself sees every endpoint for the first time.
bool isNewEndpoint(const Registration &registration, SteadyTime::duration serviceKnownFor,
                   std::chrono::milliseconds unixNow);

} // namespace almondmill
