#pragma once

#include "almondmill/endpoint/endpointboard.h"
#include "almondmill/endpoint/proberchoice.h"
#include "almondmill/kernel/part.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace almondmill {

class Counter;

/// Asks the endpoints that fall to this router for their status, and keeps what all routers know of
/// endpoints up to date.
class EndpointStatusPart : public Part
{
public:
    explicit EndpointStatusPart(Node &node);
    ~EndpointStatusPart() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;

    void start() override;
    void stop() override;

private:
    /// An endpoint that falls to this router.
    struct Assignment
    {
        std::uint64_t nameHash = 0;
        std::string address;
        ProberPlace place;
        SteadyTime nextProbe;
    };

    void schedule();
    void assign(SteadyTime now);
    void queueDue(SteadyTime now);
    void probe();

    Node &m_node;
    EndpointBoard m_board;
    Counter &m_probes;
    Counter &m_silences;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::vector<Assignment> m_assignments;
    std::deque<Assignment> m_due;
    std::vector<std::thread> m_threads;
};

} // namespace almondmill
