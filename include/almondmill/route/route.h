#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Whether a request may be sent again after a failed attempt.
enum class RetrySafety {
    Repeatable,      ///< Idempotent; may run any number of times.
    AtMostOnce,      ///< May run once; retried only when it certainly did not run.
    Stream,          ///< An event stream that may run once.
    ResumableStream, ///< An event stream that another endpoint may resume.
};

constexpr bool isStream(RetrySafety retrySafety)
{
    return retrySafety == RetrySafety::Stream || retrySafety == RetrySafety::ResumableStream;
}

/// Whether a request may be retried although an earlier attempt may have run.
constexpr bool mayRunAgain(RetrySafety retrySafety)
{
    return retrySafety == RetrySafety::Repeatable || retrySafety == RetrySafety::ResumableStream;
}

/// A service's share of a route's requests.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other shares of the route.
};

/// Routing rule for the requests of one host and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    RetrySafety retrySafety = RetrySafety::AtMostOnce;
    std::chrono::milliseconds timeout{0};        ///< Longest time that a caller waits.
    std::chrono::milliseconds targetLatency{0};  ///< For an answer, or a stream's first event.
    std::chrono::milliseconds targetEventGap{0}; ///< Target gap between two events of a stream.
    std::uint32_t priority = 0;                  ///< Zero is the most urgent.
    std::vector<ServiceShare> shares;
    std::uint32_t maxAttempts = 1; ///< Endpoints that a request may be sent to.
    bool isPublic = false;         ///< Whether requests need no key.
};

} // namespace almondmill
