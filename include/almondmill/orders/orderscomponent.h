#pragma once

#include "almondmill/kernel/component.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace almondmill {

class EngineControl;
class Lease;
class OrderController;

/// Runs the orders lease and the order controller of one router. Only a few routers, chosen by
/// rendezvous hashing over the live members, request the lease, so the number of calls to the
/// platform does not grow with the fleet.
class OrdersComponent : public Component
{
public:
    explicit OrdersComponent(Node &node);
    ~OrdersComponent() override;

    Stage stage() const override { return Stage::Configuration; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

private:
    void run();
    void runOnce();
    bool isCandidate() const;
    bool waitForNextRound();

    Node &m_node;
    std::unique_ptr<Lease> m_lease;
    std::unique_ptr<EngineControl> m_engines;
    std::unique_ptr<OrderController> m_controller;
    std::atomic<bool> m_holds{false};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace almondmill
