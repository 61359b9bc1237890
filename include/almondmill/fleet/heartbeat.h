#pragma once

#include "almondmill/fleet/endpointrumour.h"
#include "almondmill/fleet/memberrumour.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Sent with every probe and every answer to one: the sender's own state and a bounded number of
/// rumours.
struct Heartbeat
{
    std::string sender; ///< "IP:port" of the sender's listener for other routers.
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::uint64_t configVersion = 0;
    std::uint64_t viewHash = 0; ///< Hash of the sender's view of the members.
    std::uint32_t inFlight = 0;
    bool draining = false;
    bool wholeView = false; ///< `members` is the whole view; the answer carries the receiver's.
    std::vector<MemberRumour> members;
    std::vector<EndpointRumour> endpoints;
};

} // namespace almondmill
