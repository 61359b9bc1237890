#pragma once

#include "almondmill/forward/ratelimits.h"
#include "almondmill/kernel/time.h"

#include <nlohmann/json_fwd.hpp>

namespace almondmill {

// Serialization of rate limits, which several peer messages share. The decoder throws
// json::exception.

/// An array of the report's fields, with times relative to `bootNow`.
nlohmann::json encodeRateLimit(const RateLimitReport &report, SteadyTime bootNow);
RateLimitReport decodeRateLimit(const nlohmann::json &fields, SteadyTime bootNow);

} // namespace almondmill
