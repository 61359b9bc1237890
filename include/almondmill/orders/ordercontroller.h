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

/// Moves engines, one order at a time, towards the weights that the inventory says. It compares
/// what engines tell with what they should serve, again and again, so an order lost, refused or
/// overtaken by an older one is made good in a later round. Orders only while the lease holds.
class OrderController
{
public:
    OrderController(Lease &lease, EngineControl &engines, Metrics &metrics,
                    std::chrono::milliseconds orderTimeout);

    /// What the last round saw. Safe from any thread.
    void dump(nlohmann::json &object) const;

    /// One round over all models: reads the status of engines that are not known to be as the
    /// inventory says, then orders as many as the plan allows.
    void runRound(const EndpointSet &endpoints, const Lease::Clock &clock);

private:
    /// An order that may still be under way: until its outcome is seen or this time has passed.
    struct PendingOrder
    {
        std::string weights;
        SteadyTime until;
    };

    void runModel(const Model &model, const EndpointSet &endpoints, const Lease::Clock &clock);
    LoadCandidate inspect(const Model &model, EndpointState &state, SteadyTime now);
    void learn(EndpointState &state, const EngineStatus &status) const;
    bool isPending(const std::string &endpoint, const EngineStatus &status, SteadyTime now);
    void giveOrder(const Model &model, EndpointState &state, const Lease::Clock &clock);
    void note(const std::string &model, std::size_t waiting);

    Lease &m_lease;
    EngineControl &m_engines;
    std::chrono::milliseconds m_orderTimeout;
    Counter &m_accepted;
    Counter &m_fenced;
    Counter &m_unanswered;
    absl::flat_hash_map<std::string, PendingOrder> m_pending;
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, std::size_t>
            m_waiting; ///< Endpoints not yet as they should be.
};

} // namespace almondmill
