#pragma once

#include "almondmill/config/settings.h"
#include "almondmill/endpoint/endpointtable.h"
#include "almondmill/metrics/metrics.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace almondmill {

class AccountLimits;
class ConfigurationExchange;
class ConfigurationPeers;
class EndpointRumours;
class MemberView;
class ObjectStore;
class AtMostOnceExecutor;
class Components;
class Placer;
class PlacementOwner;
class PlacementPeers;
class VmList;

/// State and services shared by the components of one router process. Created by the main program;
/// outlives all components. Components publish their services here in their constructors, before
/// any component starts.
struct Node
{
    explicit Node(Settings nodeSettings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const Settings settings;
    const std::uint64_t incarnation; ///< Random; differs after each process start.
    Metrics metrics;
    EndpointTable endpoints;
    std::unique_ptr<Placer> placer;

    ObjectStore *store = nullptr;
    VmList *vmList = nullptr;
    MemberView *members = nullptr; ///< Null without a fleet component.
    ConfigurationExchange *configurationExchange = nullptr;
    ConfigurationPeers *configurationPeers = nullptr; ///< Null without a fleet component.
    PlacementOwner *placementOwner = nullptr; ///< Null unless the placement policy assigns owners.
    PlacementPeers *placementPeers = nullptr; ///< Null without a fleet component.
    AtMostOnceExecutor *atMostOnce =
            nullptr; ///< At-most-once execution of calls with an idempotency key.
    EndpointRumours *endpointRumours = nullptr; ///< Null without a status component.
    AccountLimits *accountLimits = nullptr;     ///< Null without a limits component.
    const Components *components = nullptr;

    std::atomic<bool> draining{false};      ///< Set by SIGTERM or by an operator's drain request.
    std::atomic<std::uint32_t> inFlight{0}; ///< Open requests of callers.
};

} // namespace almondmill
