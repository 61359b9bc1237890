#include "almondmill/orders/orderscomponent.h"

#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"
#include "almondmill/orders/httpenginecontrol.h"
#include "almondmill/orders/lease.h"
#include "almondmill/orders/ordercontroller.h"
#include "almondmill/store/objectstore.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::chrono::milliseconds RoundInterval{1000};
constexpr std::chrono::milliseconds LeaseDuration{6000};
constexpr std::chrono::milliseconds OrderTimeout{1000};

/// Number of routers that request the lease.
constexpr std::ptrdiff_t LeaseCandidates = 3;
constexpr const char *LeaseName = "leases/orders";

LeaseOptions leaseOptions(const Node &node)
{
    LeaseOptions options;
    options.objectName = LeaseName;
    options.holder = node.settings.peersListen;
    options.incarnation = node.incarnation;
    options.duration = LeaseDuration;
    options.orderTimeout = OrderTimeout;
    options.storeTimeout = node.settings.platformTimeout;
    return options;
}

std::uint64_t candidateWeight(const std::string &address)
{
    return mixHash(hash64(LeaseName), hash64(address));
}

} // namespace

OrdersComponent::OrdersComponent(Node &node)
    : m_node(node)
    , m_lease(std::make_unique<Lease>(*node.store, leaseOptions(node)))
    , m_engines(std::make_unique<HttpEngineControl>())
    , m_controller(
              std::make_unique<OrderController>(*m_lease, *m_engines, node.metrics, OrderTimeout))
{}

OrdersComponent::~OrdersComponent()
{
    stop();
}

void OrdersComponent::dump(nlohmann::json &object) const
{
    object["holds_lease"] = m_holds.load();
    m_controller->dump(object);
}

void OrdersComponent::start()
{
    m_thread = std::thread([this] { run(); });
}

void OrdersComponent::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    m_lease->release();
}

void OrdersComponent::run()
{
    while (waitForNextRound()) {
        try {
            runOnce();
        } catch (const std::exception &error) {
            log(LogLevel::Error, "orders", std::string("Order round failed: ") + error.what());
        }
    }
}

void OrdersComponent::runOnce()
{
    const auto clock = [] { return std::chrono::steady_clock::now(); };
    const bool held = m_lease->held(clock());
    if (!held && (m_node.draining || !isCandidate()))
        return;
    m_lease->maintain(clock);
    const bool holds = m_lease->held(clock());
    if (holds != m_holds.exchange(holds))
        log(LogLevel::Info, "orders",
            holds ? "Acquired the orders lease." : "Lost the orders lease.");
    if (m_lease->mayOrder(clock()))
        m_controller->runRound(*m_node.endpoints.snapshot(), clock);
}

bool OrdersComponent::isCandidate() const
{
    if (!m_node.members)
        return true;
    const auto members = m_node.members->members();
    const std::uint64_t own = candidateWeight(m_node.members->self());
    const auto ahead = std::count_if(members->begin(), members->end(), [&](const Member &member) {
        return !member.leaving && candidateWeight(member.address) > own;
    });
    return ahead < LeaseCandidates;
}

bool OrdersComponent::waitForNextRound()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_changed.wait_for(lock, RoundInterval, [&] { return m_stopping; });
}

namespace {

const ComponentRegistry::Registrar OrdersRegistrar("orders", [](Node &node) {
    return std::make_unique<OrdersComponent>(node);
});

} // namespace

} // namespace almondmill
