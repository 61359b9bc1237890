#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/metrics/counter.h"
#include "almondmill/orders/lease.h"
#include "almondmill/orders/loadplan.h"

#include <absl/container/flat_hash_map.h>

#include <nlohmann/json_fwd.hpp>

#include <mutex>
#include <string>
#include <vector>

namespace almondmill {

class EndpointSet;
class EndpointState;
class EngineControl;
class Metrics;
struct EngineStatus;
struct Model;

/// Reconciles the engines with the weights set in the inventory, one order at a time. Each round
/// compares the reported with the desired weights, so an order that was lost, rejected or undone by
/// a late older order is repeated in a later round. Sends orders only while the lease is held.
class OrderController
{
public:
    OrderController(Lease &lease, EngineControl &engines, Metrics &metrics,
                    std::chrono::milliseconds orderTimeout);

    /// Adds the result of the last round to `object`. Thread-safe.
    void dump(nlohmann::json &object) const;

    /// Runs one round over all models: reads the status of engines that are not known to serve the
    /// desired weights, then sends as many orders as the plan allows.
    void runRound(const EndpointSet &endpoints, const Lease::Clock &clock);

private:
    /// An order that counts as in flight until the engine serves the weights or `until` has passed.
    struct PendingOrder
    {
        std::string weights;
        SteadyTime until;
    };

    void runModel(const Model &model, const EndpointSet &endpoints, const Lease::Clock &clock);
    LoadCandidate inspect(const Model &model, EndpointState &state, SteadyTime now);
    void applyStatus(EndpointState &state, const EngineStatus &status) const;
    bool isPending(const std::string &endpoint, const EngineStatus &status, SteadyTime now);
    void sendOrder(const Model &model, EndpointState &state, const Lease::Clock &clock);
    void recordOutdated(const std::string &model, std::size_t count);

    Lease &m_lease;
    EngineControl &m_engines;
    std::chrono::milliseconds m_orderTimeout;
    Counter &m_accepted;
    Counter &m_fenced;
    Counter &m_unanswered;
    absl::flat_hash_map<std::string, PendingOrder> m_pending;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::size_t>
            m_outdated; ///< Endpoints without the desired weights, by model.
};

} // namespace almondmill
