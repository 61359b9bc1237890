#pragma once

#include "almondmill/forward/statedratelimit.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace almondmill {

/// What a router knows of the rate limit of one incarnation of an endpoint.
struct RateLimitReport
{
    std::uint64_t endpoint = 0; ///< See incarnationHash.
    RateLimitStatement statement;
};

/// The rate limits that endpoints state in their answers, by incarnation. They outlive
/// registrations and configurations. Must be used on the event loop only.
class RateLimits
{
public:
    /// Incarnations that are kept; the one that was heard of least recently is dropped first.
    static constexpr std::size_t MaxEndpoints = 4096;

    RateLimitChange record(const RateLimitReport &report);

    /// Requests per second that the endpoint takes from all routers; empty without a limit.
    std::optional<double> perSecond(std::uint64_t endpoint) const;

    /// Endpoints with a limit.
    std::size_t limitedCount() const;

private:
    void dropOldest();

    absl::flat_hash_map<std::uint64_t, StatedRateLimit> m_limits;
};

} // namespace almondmill
