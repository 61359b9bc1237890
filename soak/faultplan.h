#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace almondmill::soak {

/// A router's process gets SIGKILL and starts again after `downFor`.
struct KillRouter
{
    std::size_t router = 0;
    std::chrono::milliseconds downFor{0};
};

/// A router's process gets SIGTERM and starts again after its end.
struct StopRouter
{
    std::size_t router = 0;
};

/// A router's process is stopped and goes on later.
struct PauseRouter
{
    std::size_t router = 0;
    std::chrono::milliseconds lasts{0};
};

/// A router's process is told to read its settings file again.
struct ReloadRouter
{
    std::size_t router = 0;
};

/// All routers are killed at the same moment.
struct KillAllRouters
{
    std::chrono::milliseconds downFor{0};
};

/// Ways in which a proxy disturbs connections.
enum class LinkFault { Reset, Delay, SilentToTarget, SilentToCaller, SilentBoth };

/// The way from a router to the store.
struct DisturbStoreLink
{
    std::size_t router = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds lasts{0};
};

/// The way from callers to a router.
struct DisturbCallers
{
    std::size_t router = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds lasts{0};
};

/// The way from all routers to an endpoint.
struct DisturbEndpoint
{
    std::size_t endpoint = 0;
    LinkFault fault = LinkFault::Reset;
    std::chrono::milliseconds lasts{0};
};

/// Ways in which the store fails.
enum class StoreFault { Busy, Silent, Slow, LoseAnswer, ForgetHistory };

struct DisturbStore
{
    StoreFault fault = StoreFault::Busy;
    std::chrono::milliseconds lasts{0};
};

/// An endpoint ends without a word; a new lifetime starts at its address later.
struct CrashEndpoint
{
    std::size_t endpoint = 0;
    std::chrono::milliseconds downFor{0};
    bool sameId = false;       ///< The new lifetime bears the same id.
    bool otherService = false; ///< Of plain services: it belongs to the other one.
};

/// An endpoint says that it leaves, and a new lifetime takes its place.
struct ReplaceEndpoint
{
    std::size_t endpoint = 0;
    std::chrono::milliseconds servesOn{0}; ///< Beyond the drain deadline.
};

/// An endpoint handles part of its requests wrongly.
struct SpoilEndpoint
{
    std::size_t endpoint = 0;
    double share = 0;
    std::chrono::milliseconds lasts{0};
};

/// The operator changes the configuration.
enum class ConfigurationStep { AddRoute, RemoveRoute, MoveService, AddKey, RemoveKey };

struct ChangeConfiguration
{
    ConfigurationStep step = ConfigurationStep::AddRoute;
};

/// New weights are named.
struct NameWeights
{};

using Fault =
        std::variant<KillRouter, StopRouter, PauseRouter, ReloadRouter, KillAllRouters,
                     DisturbStoreLink, DisturbCallers, DisturbEndpoint, DisturbStore, CrashEndpoint,
                     ReplaceEndpoint, SpoilEndpoint, ChangeConfiguration, NameWeights>;

struct PlannedFault
{
    std::chrono::milliseconds at{0}; ///< From the start of the traffic.
    Fault fault;
};

/// What the faults of a plan choose from.
struct SoakSize
{
    std::size_t routers = 4;
    std::size_t endpoints = 7;
};

/// The faults of a seed that begin within `length`, in order of time: series and overlaps come by
/// chance.
std::vector<PlannedFault> planFaults(std::uint64_t seed, std::chrono::milliseconds length,
                                     const SoakSize &size);

/// The fault in one line, such as "kill router-2, down for 300 ms".
std::string describe(const Fault &fault);

} // namespace almondmill::soak
