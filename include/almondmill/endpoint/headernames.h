#pragma once

namespace almondmill {

/// Identifies one attempt to send a request; endpoints echo it.
constexpr const char *AttemptIdHeader = "X-Attempt-Id";
/// Incarnation of the endpoint that answers: a decimal number that changes with each restart.
constexpr const char *IncarnationHeader = "X-Endpoint-Incarnation";
/// Version of the weights that the endpoint serves.
constexpr const char *WeightsHeader = "X-Weights-Version";
/// Requests in flight at the endpoint.
constexpr const char *LoadHeader = "X-Endpoint-Load";
/// Prompt tokens that the endpoint found in its cache.
constexpr const char *CachedTokensHeader = "X-Cached-Tokens";
/// Priority of a request: "high" or "low".
constexpr const char *PriorityHeader = "X-Priority";
/// Name of the endpoint that served a request; sent to callers.
constexpr const char *ServedByHeader = "X-Served-By";
/// Key of a call that must run at most once.
constexpr const char *IdempotencyKeyHeader = "Idempotency-Key";

} // namespace almondmill
