#pragma once

#include "almondmill/fleet/member.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Routers that probe one endpoint.
constexpr std::size_t ProbersPerEndpoint = 2;

/// All probers of an endpoint together ask it once in this time.
constexpr std::chrono::milliseconds StatusInterval{1000};

/// This router's place among the probers of an endpoint.
struct ProberPlace
{
    std::size_t rank = 0;
    std::size_t probers = 1;
};

/// The place of `self`, or nothing when others probe the endpoint: the live members of its data
/// centre that come first in rendezvous order, or of all data centres when it has none. Cost:
/// linear in the members.
std::optional<ProberPlace> proberPlace(std::uint64_t endpointHash, const std::string &dataCentre,
                                       const std::string &self, const std::vector<Member> &members);

/// Time until this prober's next turn. The probers of an endpoint take turns by the wall clock;
/// where their clocks differ the endpoint is asked less evenly, never less often.
std::chrono::milliseconds untilTurn(std::uint64_t endpointHash, const ProberPlace &place,
                                    WallTime now);

} // namespace almondmill
