#pragma once

#include "siteconfiguration.h"

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill::soak {

/// One request that a caller sent to a router, and what came back.
struct Attempt
{
    std::string id;
    std::size_t router = 0;
    RequestKind kind = RequestKind::Any;
    std::string path;
    std::string key;
    std::string expectedBody; ///< Without the account, which the endpoint adds.
    std::uint64_t eventsAsked = 0;
    std::chrono::milliseconds patience{0}; ///< Least of the route's timeout and the caller's time.
    SteadyTime sentAt;
    std::optional<SteadyTime> headAt; ///< Of the answer.
    SteadyTime endedAt;
    unsigned status = 0; ///< Zero without an answer.
    std::string signature;
    std::string body;
    bool isWhole = false;    ///< The answer came to its end.
    bool callerLeft = false; ///< Before the answer's end, by its own will.
};

/// A request as an endpoint ran it.
struct RequestRun
{
    std::string requestId;
    std::string endpoint;
    std::string service;
    std::string path;
    std::string body; ///< As the endpoint would answer: it says all that arrived.
    std::string account;
    bool hasForeignHeaders =
            false; ///< Something that only the router may set came from the caller.
    std::uint64_t weightsVersion = 0;
    SteadyTime beganAt;
};

/// The store acknowledged a configuration.
struct ConfigurationChange
{
    SiteConfiguration configuration;
    SteadyTime acknowledgedAt;
};

/// The store acknowledged that an endpoint is about to leave.
struct EndpointLeaving
{
    std::string endpoint;
    SteadyTime acknowledgedAt;
};

/// New weights were named.
struct WeightsNamed
{
    std::uint64_t version = 0;
    SteadyTime acknowledgedAt;
};

/// An engine took an order.
struct OrderTaken
{
    std::string endpoint;
    std::string holder;
    std::uint64_t fencing = 0;
    SteadyTime at;
};

/// Something was disturbed, from outside or by this process.
struct Disturbance
{
    enum class What { Router, Endpoint, Everything };

    What what = What::Everything;
    std::string name; ///< Of the router ("router-1") or of the endpoint's place ("desk-1").
    SteadyTime from;
    SteadyTime until = SteadyTime::max(); ///< Without an end so far.
    bool planned = false;                 ///< A shutdown that callers must not notice.
};

/// A check did not hold.
struct Violation
{
    std::string check; ///< Such as "at-most-once".
    std::string text;
};

/// A check did not hold for that request.
Violation violationOf(const std::string &check, const Attempt &attempt, const std::string &text);

} // namespace almondmill::soak
