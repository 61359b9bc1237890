#pragma once

#include "siteconfiguration.h"

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill::soak {

/// One request that a caller sent to a router, and its answer.
struct Attempt
{
    std::string id;
    std::size_t router = 0;
    RequestKind kind = RequestKind::Idempotent;
    std::string path;
    std::string key;
    std::string expectedBody; ///< Without the account, which the endpoint appends.
    std::uint64_t requestedEvents = 0;
    /// Lesser of the route's timeout and the caller's deadline.
    std::chrono::milliseconds timeout{0};
    SteadyTime sentAt;
    std::optional<SteadyTime> headAt; ///< When the head of the answer was received.
    SteadyTime endedAt;
    unsigned status = 0; ///< Zero without an answer.
    std::string signature;
    bool announcesLeaving = false; ///< The answer states that its endpoint shuts down.
    bool namesRateLimit = false;   ///< The answer names a limit of its endpoint.
    std::string body;
    bool isComplete = false;         ///< The answer was received up to its end.
    bool callerDisconnected = false; ///< Deliberately, before the answer's end.
};

/// A request as an endpoint executed it.
struct RequestRun
{
    std::string requestId;
    std::string endpoint;
    std::string service;
    std::string path;
    std::string body; ///< The endpoint's answer, which repeats the request as received.
    std::string account;
    /// The router forwarded headers from the caller that only the router may set.
    bool hasForgedHeaders = false;
    std::uint64_t weightsVersion = 0;
    SteadyTime beganAt;
};

/// A request that an endpoint refused without executing it.
struct RequestRefusal
{
    std::string requestId;
    std::string endpoint;
    SteadyTime at;
    std::optional<std::chrono::milliseconds> pause; ///< How long it wants no further ones.
};

/// An endpoint named a limit of requests per second, for all routers together.
struct RateLimitStated
{
    std::string endpoint;
    double perSecond = 0;
    SteadyTime from;
    SteadyTime until = SteadyTime::max();
};

/// The store acknowledged a configuration at that time.
struct ConfigurationChange
{
    SiteConfiguration configuration;
    SteadyTime acknowledgedAt;
};

/// The store acknowledged an endpoint's state "draining".
struct EndpointDraining
{
    std::string endpoint;
    SteadyTime acknowledgedAt;
};

/// The store acknowledged a new version of the weights.
struct WeightsPublished
{
    std::uint64_t version = 0;
    SteadyTime acknowledgedAt;
};

/// An engine accepted an order of a lease holder.
struct OrderTaken
{
    std::string endpoint;
    std::string holder;
    std::uint64_t fencing = 0;
    SteadyTime at;
};

/// A period in which a router, an endpoint, the store or the whole site was disturbed, by an
/// injected fault or by a delay of the soak process itself.
struct Disturbance
{
    enum class Scope {
        RouterProcess, ///< A router's process ended or was suspended.
        Router,        ///< Connections of a router.
        Endpoint,
        Store,
        Site,
    };

    Scope scope = Scope::Site;
    std::string name; ///< Of the router ("router-1") or of the endpoint's replica ("desk-1").
    SteadyTime from;
    SteadyTime until = SteadyTime::max(); ///< The maximum while it is active.
    bool planned = false;                 ///< A graceful shutdown, which must not affect callers.
};

/// A failed check.
struct Violation
{
    std::string check; ///< Such as "at-most-once".
    std::string text;
};

/// A violation whose text starts with the request's id, path and router.
Violation violationOf(const std::string &check, const Attempt &attempt, const std::string &text);

} // namespace almondmill::soak
