#pragma once

#include "almondmill/endpoint/endpointstatustracker.h"
#include "almondmill/endpoint/proberchoice.h"
#include "almondmill/kernel/component.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace almondmill {

class Counter;
class StatusClient;

/// Probes the status of the endpoints that are assigned to this router, and maintains the status
/// that the routers share about all endpoints.
class EndpointStatusComponent : public Component
{
public:
    explicit EndpointStatusComponent(Node &node);
    ~EndpointStatusComponent() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;

    void start() override;
    void stop() override;

private:
    /// An endpoint that this router probes.
    struct Assignment
    {
        std::uint64_t nameHash = 0;
        std::shared_ptr<StatusClient> client;
        ProberSlot slot;
        SteadyTime nextProbe;
    };

    void schedule();
    void assign(SteadyTime now);
    void queueDue(SteadyTime now);
    std::shared_ptr<StatusClient> clientFor(const EndpointState &state) const;
    void probe();

    Node &m_node;
    EndpointStatusTracker m_tracker;
    Counter &m_probes;
    Counter &m_unanswered;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::vector<Assignment> m_assignments;
    std::deque<Assignment> m_dueProbes;
    std::vector<std::thread> m_threads;
};

} // namespace almondmill
