#pragma once

#include "almondmill/fleet/endpointrumour.h"
#include "almondmill/fleet/memberrumour.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Payload of every probe and of every answer to a probe: the sender's own state and rumours about
/// members and endpoints. The number of rumours is bounded except in a whole view.
struct Heartbeat
{
    std::string sender; ///< "IP:port" of the sender's listener for other routers.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t viewHash = 0; ///< Hash of the sender's view of the fleet.
    std::uint32_t inFlight = 0;
    bool draining = false;
    bool wholeView = false; ///< `members` is the whole view; the receiver answers with its own.
    std::vector<MemberRumour> members;
    std::vector<EndpointRumour> endpoints;
};

} // namespace almondmill
