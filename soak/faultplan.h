#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondmill::soak {

/// A router's process is killed by SIGKILL and restarted after `downtime`.
struct KillRouter
{
    std::size_t router = 0;
    std::chrono::milliseconds downtime{0};
};

/// A router's process is terminated by SIGTERM and restarted after it has ended.
struct StopRouter
{
    std::size_t router = 0;
};

/// A router's process is suspended by SIGSTOP and resumed after `duration`.
struct PauseRouter
{
    std::size_t router = 0;
    std::chrono::milliseconds duration{0};
};

/// A router's process reloads its settings file on SIGHUP.
struct ReloadRouter
{
    std::size_t router = 0;
};

/// All routers are killed by SIGKILL at the same time.
struct KillAllRouters
{
    std::chrono::milliseconds downtime{0};
};

/// Faults that a proxy injects into connections. A stalled direction holds its data back.
enum class LinkFault { Reset, Delay, StallToTarget, StallToCaller, StallBoth };

/// Fault of the connections from a router to the store.
struct DisturbStoreLink
{
    std::size_t router = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds duration{0};
};

/// Fault of the connections from callers to a router.
struct DisturbCallerLink
{
    std::size_t router = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds duration{0};
};

/// Fault of the connections from all routers to an endpoint.
struct DisturbEndpoint
{
    std::size_t endpoint = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds duration{0};
};

/// Faults of the store.
enum class StoreFault { Busy, Unresponsive, Slow, LoseAnswer, ForgetHistory };

struct DisturbStore
{
    StoreFault fault = StoreFault::Busy;
    std::chrono::milliseconds duration{0};
};

/// The store returns to a copy of its contents that is `age` old. The operator writes again what he
/// had written, `rewriteAfter` later; endpoints do so with their next heartbeats.
struct ReturnStore
{
    std::chrono::milliseconds age{0};
    std::chrono::milliseconds rewriteAfter{0};
};

/// An endpoint ends without draining; a new incarnation starts at its address after `downtime`.
struct CrashEndpoint
{
    std::size_t endpoint = 0;
    std::chrono::milliseconds downtime{0};
    bool sameId = false;       ///< The new incarnation has the same id.
    bool otherService = false; ///< A plain endpoint changes to the other plain service.
};

/// An endpoint says in its answers that it leaves, serves on and ends, and a new incarnation starts
/// at its address.
struct ReplaceEndpoint
{
    std::size_t endpoint = 0;
    std::chrono::milliseconds serveAfterDeadline{0}; ///< Until the endpoint ends.
    bool isRegisteredAsDraining = true; ///< Otherwise its registration remains as it was.
};

/// An endpoint fails a part of its requests.
struct FailRequests
{
    std::size_t endpoint = 0;
    double ratio = 0;
    std::chrono::milliseconds duration{0};
};

/// An endpoint names a limit of requests per second, for all routers together, and serves as
/// before.
struct LimitRate
{
    std::size_t endpoint = 0;
    double perSecond = 0;
    std::chrono::milliseconds duration{0};
};

/// Changes that the operator makes to the configuration.
enum class ConfigurationStep { AddRoute, RemoveRoute, MoveService, AddKey, RemoveKey };

struct ChangeConfiguration
{
    ConfigurationStep step = ConfigurationStep::AddRoute;
};

/// The operator publishes a new version of the weights.
struct PublishWeights
{};

using Fault = std::variant<KillRouter, StopRouter, PauseRouter, ReloadRouter, KillAllRouters,
                           DisturbStoreLink, DisturbCallerLink, DisturbEndpoint, DisturbStore,
                           CrashEndpoint, ReplaceEndpoint, FailRequests, LimitRate,
                           ChangeConfiguration, PublishWeights, ReturnStore>;

struct PlannedFault
{
    std::chrono::milliseconds at{0}; ///< From the start of the traffic.
    Fault fault;
};

/// Numbers of routers and endpoints that the faults of a plan choose from.
struct SoakSize
{
    std::size_t routers = 4;
    std::size_t endpoints = 7;
};

/// The faults of a seed that begin within `length`, ordered by time. Faults may overlap and come in
/// series.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length,
                                     const SoakSize &size);

/// Returns of the store for a seed, and new weights around them, to overlap with the faults of a
/// plan.
std::vector<PlannedFault> planReturns(std::uint64_t seed, std::chrono::milliseconds length);

/// Both plans as one, ordered by time.
std::vector<PlannedFault> merged(std::vector<PlannedFault> first, std::vector<PlannedFault> second);

/// Describes the fault in one line, such as "kill router-2, down for 300 ms".
std::string describe(const Fault &fault);

} // namespace almondmill::soak
