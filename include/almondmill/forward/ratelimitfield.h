#pragma once

#include <variant>

namespace almondmill {

/// The answer names no rate limit.
struct NoRateLimit
{};

/// The answer names a rate limit in a form that can't be read. It states neither a limit nor the
/// end of one.
struct UnreadableRateLimit
{};

/// Requests per second that the endpoint takes from all routers together; zero or more.
struct RequestsPerSecond
{
    double value = 0;
};

/// What the head of an endpoint's answer states about its rate limit.
using RateLimitField = std::variant<NoRateLimit, UnreadableRateLimit, RequestsPerSecond>;

} // namespace almondmill
