#pragma once

#include "almondmill/forward/routerplace.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace almondmill {

class EndpointPace;

/// One usable endpoint of a service, as the bounds of its paced endpoints depend on it.
struct PacedCandidate
{
    const EndpointPace *pace = nullptr;
    std::uint32_t slots = 1;
    RouterPlace place; ///< Needed while the pace is in force.
};

/// Bounds on this router's open requests at each of the usable endpoints of a service; `NoBound`
/// for those that are not paced. Where much of the service is paced, the limits of its endpoints
/// are raised: one endpoint of many starts slowly, while a service that starts as a whole uses all
/// of its slots and queues. Where everything is paced, each router may have at least one request
/// open at one endpoint, so that none is refused by a router without a share; one that doesn't know
/// the fleet yet has no bound where the whole service has just started.
std::vector<std::uint32_t> pacedBounds(std::span<const PacedCandidate> candidates, SteadyTime now);

constexpr std::uint32_t NoBound = UINT32_MAX;

} // namespace almondmill
