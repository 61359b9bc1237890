#pragma once

#include "almondmill/fleet/heartbeat.h"

#include <cstdint>
#include <string>

namespace almondmill {

/// A probe that the membership protocol asks its caller to send.
struct Probe
{
    std::uint64_t id = 0;
    std::string target;
    std::string via; ///< Member that sends an indirect probe; empty for a direct one.
    Heartbeat heartbeat;
};

} // namespace almondmill
