#pragma once

#include "almondmill/fleet/heartbeat.h"

#include <cstdint>
#include <string>

namespace almondmill {

/// One probe that membership wants sent now.
struct Probe
{
    std::uint64_t id = 0;
    std::string target;
    std::string via; ///< Member that is asked to probe the target, or empty.
    Heartbeat heartbeat;
};

} // namespace almondmill
