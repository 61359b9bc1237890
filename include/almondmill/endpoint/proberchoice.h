#pragma once

#include "almondmill/fleet/member.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// Number of routers that probe one endpoint.
constexpr std::size_t ProbersPerEndpoint = 2;

/// Interval between two probes of an endpoint, counted over all of its probers.
constexpr std::chrono::milliseconds StatusInterval{1000};

/// Rank of this router among the probers of an endpoint.
struct ProberSlot
{
    std::size_t rank = 0;
    std::size_t probers = 1;
};

/// Returns the rank of `self`, or nothing when other routers probe the endpoint. The probers are
/// the first live members in rendezvous-hash order among those of the endpoint's data centre, or
/// among those of all data centres when its own has none. Cost: n log n in the number of members.
std::optional<ProberSlot> proberSlot(std::uint64_t endpointHash, const std::string &dataCentre,
                                     const std::string &self, const std::vector<Member> &members);

/// Time until this prober's next probe. The probers of an endpoint alternate by the wall clock.
/// Where their clocks differ, the probes are spaced less evenly, but they are not fewer.
std::chrono::milliseconds timeUntilNextSlot(std::uint64_t endpointHash, const ProberSlot &place,
                                            WallTime now);

} // namespace almondmill
