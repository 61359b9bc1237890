#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace almondmill {

/// Number of further requests that the endpoints can take at `now`, as far as this router knows,
/// when each takes up to `maxInFlight` concurrent requests. Cost: linear in the endpoints.
std::size_t freeSlots(const EndpointSet::States &states, std::uint32_t maxInFlight, SteadyTime now);

} // namespace almondmill
