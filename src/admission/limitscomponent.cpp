#include "almondmill/admission/accountlimits.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/component.h"
#include "almondmill/kernel/node.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace almondmill {

namespace {

constexpr std::chrono::milliseconds UpdatePeriod{1000};

/// Holds the client accounts' limits and recomputes this router's shares of them once per second.
class LimitsComponent : public Component
{
public:
    explicit LimitsComponent(Node &node)
        : m_node(node)
    {
        node.accountLimits = &m_limits;
    }

    ~LimitsComponent() override { m_node.accountLimits = nullptr; }

    Stage stage() const override { return Stage::Fleet; }
    void dump(nlohmann::json &object) const override;
    void start() override;
    void stop() override;

private:
    void run();
    std::size_t liveRouters() const;

    Node &m_node;
    AccountLimits m_limits;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::thread m_thread;
};

void LimitsComponent::dump(nlohmann::json &object) const
{
    object["accounts"] = m_limits.accounts();
    object["state_bytes"] = m_limits.stateBytes();
    object["routers"] = liveRouters();
}

void LimitsComponent::start()
{
    m_thread = std::thread([this] { run(); });
}

void LimitsComponent::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

std::size_t LimitsComponent::liveRouters() const
{
    if (!m_node.members)
        return 1;
    return std::max<std::size_t>(m_node.members->members()->size(), 1);
}

void LimitsComponent::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_changed.wait_for(lock, UpdatePeriod, [this] { return m_stopping; })) {
        lock.unlock();
        m_limits.update(m_node.endpoints.snapshot()->configuration(), liveRouters(), UpdatePeriod);
        lock.lock();
    }
}

const ComponentRegistry::Registrar LimitsRegistrar("limits", [](Node &node) {
    return std::make_unique<LimitsComponent>(node);
});

} // namespace

} // namespace almondmill
