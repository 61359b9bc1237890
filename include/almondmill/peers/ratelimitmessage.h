#pragma once

#include "almondmill/forward/ratelimits.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// What endpoints stated about their rate limits, sent by one router to others.
struct RateLimitMessage
{
    std::string origin; ///< Router that broadcasts the message; empty when it is not forwarded.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each broadcast of an incarnation.
    std::vector<RateLimitReport> reports;
};

/// Serializes a message to CBOR. Times are sent relative to `bootNow`, since routers share no
/// clock.
std::string encodeRateLimits(const RateLimitMessage &message, SteadyTime bootNow);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<RateLimitMessage> decodeRateLimits(std::string_view bytes, SteadyTime bootNow);

} // namespace almondmill
