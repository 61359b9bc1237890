#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <cstdint>

namespace almondmill {

/// Further requests that the endpoints have room for at `now`, as far as this router knows, when
/// each takes `maxInFlight` at once. Cost: linear in the endpoints.
std::size_t roomOf(const EndpointSet::States &states, std::uint32_t maxInFlight, SteadyTime now);

} // namespace almondmill
