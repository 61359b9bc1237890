#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// What may be done with a request a second time.
enum class Repetition {
    Repeatable,      ///< May run any number of times.
    AtMostOnce,      ///< May run once; sent again only when it certainly did not run.
    Stream,          ///< An event stream that may run once.
    ResumableStream, ///< An event stream that may go on at another endpoint.
};

constexpr bool isStream(Repetition repetition)
{
    return repetition == Repetition::Stream || repetition == Repetition::ResumableStream;
}

/// Whether a request may be sent again although an earlier attempt may have run.
constexpr bool mayRunAgain(Repetition repetition)
{
    return repetition == Repetition::Repeatable || repetition == Repetition::ResumableStream;
}

/// A service's share of a route's requests.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1; ///< Against the other shares of the same route.
};

/// Where requests of one host and path prefix go, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Starts and ends with a slash.
    Repetition repetition = Repetition::AtMostOnce;
    std::chrono::milliseconds timeout{0};       ///< Longest time that a caller is kept waiting.
    std::chrono::milliseconds targetLatency{0}; ///< Of an answer, or of a stream's first event.
    std::chrono::milliseconds longestPause{0};  ///< Between two events of a stream that is in time.
    std::uint32_t priority = 0;                 ///< Zero is the most urgent.
    std::vector<ServiceShare> shares;
    std::uint32_t maxAttempts = 1; ///< Endpoints that one request may be sent to.
    bool isPublic = false;         ///< Needs no key.
};

} // namespace almondmill
