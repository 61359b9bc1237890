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
class Parts;
class Placer;
class PlacementOwner;
class PlacementPeers;
class VmList;

/// What the parts of one router process share. Made by the main program, outlives all parts. Parts
/// put what they offer to others here when they are made, before any part starts.
struct Node
{
    explicit Node(Settings nodeSettings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    const Settings settings;
    const std::uint64_t incarnation; ///< Another after each start of the process.
    Metrics metrics;
    EndpointTable endpoints;
    std::unique_ptr<Placer> placer;

    ObjectStore *store = nullptr;
    VmList *vmList = nullptr;
    MemberView *members = nullptr; ///< Null without a fleet part.
    ConfigurationExchange *configurationExchange = nullptr;
    ConfigurationPeers *configurationPeers = nullptr; ///< Null without a fleet part.
    PlacementOwner *placementOwner = nullptr;         ///< Null unless the policy has owners.
    PlacementPeers *placementPeers = nullptr;         ///< Null without a fleet part.
    AtMostOnceExecutor *atMostOnce = nullptr;         ///< Calls with a key that run at most once.
    EndpointRumours *endpointRumours = nullptr;       ///< Null without a status part.
    AccountLimits *accountLimits = nullptr;           ///< Null without limits.
    const Parts *parts = nullptr;

    std::atomic<bool> draining{false};      ///< SIGTERM came or an operator asked to drain.
    std::atomic<std::uint32_t> inFlight{0}; ///< Requests of callers open now.
};

} // namespace almondmill
