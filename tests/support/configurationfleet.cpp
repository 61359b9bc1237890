#include "support/configurationfleet.h"

#include "almondmill/fleet/configurationpeers.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"

#include <algorithm>
#include <atomic>

namespace almondmill::test {

namespace {

constexpr std::size_t DataCentres = 4;
constexpr std::chrono::milliseconds Tick{50};
constexpr std::chrono::milliseconds WatchTimeout{1000};
constexpr std::chrono::milliseconds HeartbeatInterval{1000};

std::string addressOf(std::size_t index)
{
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7070";
}

Settings settingsOf(std::size_t index)
{
    Settings settings;
    settings.name = "router-" + std::to_string(index);
    settings.dataCentre = "dc-" + std::to_string(index % DataCentres);
    settings.peersListen = addressOf(index);
    return settings;
}

} // namespace

/// Calls to other routers of the fleet. A frozen router does not answer.
class ConfigurationFleet::Peers : public ConfigurationPeers
{
public:
    explicit Peers(ConfigurationFleet &fleet)
        : m_fleet(fleet)
    {}

    std::optional<ConfigurationOffer> pull(const std::string &peer, std::uint64_t haveVersion,
                                           const std::vector<std::string> &haveParts,
                                           std::chrono::milliseconds timeout) override;
    std::optional<std::uint64_t> push(const std::string &peer, const ConfigurationOffer &offer,
                                      std::chrono::milliseconds timeout) override;

private:
    ConfigurationFleet &m_fleet;
};

class ConfigurationFleet::Router : public MemberView
{
public:
    Router(ConfigurationFleet &fleet, std::size_t routerIndex)
        : index(routerIndex)
        , address(addressOf(routerIndex))
        , peers(fleet)
        , view(std::make_shared<const Members>())
    {
        start(fleet);
    }

    void start(ConfigurationFleet &fleet)
    {
        sync.reset();
        node = std::make_unique<Node>(settingsOf(index));
        node->store = &fleet.m_store;
        node->members = this;
        node->configurationPeers = &peers;
        sync = std::make_unique<ConfigurationSync>(*node, index + 1);
        nextStoreStep = fleet.m_now;
        nextPeerStep = fleet.m_now;
    }

    std::shared_ptr<const Members> members() const override { return view; }
    const std::string &self() const override { return address; }

    std::size_t index;
    std::string address;
    Peers peers;
    std::shared_ptr<const Members> view;
    std::unique_ptr<Node> node;
    std::unique_ptr<ConfigurationSync> sync;
    SteadyTime nextStoreStep{};
    SteadyTime nextPeerStep{};
    SteadyTime nextHeartbeat{};
    std::atomic<bool> frozen{false};
};

std::optional<ConfigurationOffer>
ConfigurationFleet::Peers::pull(const std::string &peer, std::uint64_t haveVersion,
                                const std::vector<std::string> &haveParts,
                                std::chrono::milliseconds /*timeout*/)
{
    for (const auto &router : m_fleet.m_routers) {
        if (router->address == peer && !router->frozen)
            return router->sync->inForce().offer(haveVersion, haveParts);
    }
    return std::nullopt;
}

std::optional<std::uint64_t> ConfigurationFleet::Peers::push(const std::string &peer,
                                                             const ConfigurationOffer &offer,
                                                             std::chrono::milliseconds /*timeout*/)
{
    for (const auto &router : m_fleet.m_routers) {
        if (router->address == peer && !router->frozen)
            return router->sync->acceptPush(offer, m_fleet.m_now);
    }
    return std::nullopt;
}

ConfigurationFleet::ConfigurationFleet(std::size_t size)
    : m_now(std::chrono::hours(1))
{
    for (std::size_t i = 0; i < size; ++i) {
        m_routers.push_back(std::make_unique<Router>(*this, i));
        m_order.push_back(i);
    }
    refreshView();
}

ConfigurationFleet::~ConfigurationFleet() = default;

std::size_t ConfigurationFleet::size() const
{
    return m_routers.size();
}

std::uint64_t ConfigurationFleet::version(std::size_t index) const
{
    return m_routers[index]->node->endpoints.version();
}

std::size_t ConfigurationFleet::endpointCount(std::size_t index) const
{
    return m_routers[index]->node->endpoints.snapshot()->all().size();
}

std::uint64_t ConfigurationFleet::refused(std::size_t index, const std::string &reason)
{
    return m_routers[index]
            ->node->metrics.counter("almondmill_config_refused_total", "reason=\"" + reason + "\"")
            .value();
}

bool ConfigurationFleet::isWatcher(std::size_t index) const
{
    return m_routers[index]->sync->isWatcher();
}

ConfigurationSync &ConfigurationFleet::sync(std::size_t index)
{
    return *m_routers[index]->sync;
}

bool ConfigurationFleet::allHave(std::uint64_t wanted) const
{
    return std::all_of(m_routers.begin(), m_routers.end(), [&](const auto &router) {
        return router->frozen || router->node->endpoints.version() == wanted;
    });
}

void ConfigurationFleet::setFrozen(std::size_t index, bool frozen)
{
    m_routers[index]->frozen = frozen;
}

void ConfigurationFleet::freezeWatchers()
{
    for (std::size_t i = 0; i < size(); ++i) {
        if (isWatcher(i))
            setFrozen(i, true);
    }
}

void ConfigurationFleet::restart(std::size_t index)
{
    m_routers[index]->start(*this);
}

void ConfigurationFleet::refreshView()
{
    auto members = std::make_shared<MemberView::Members>();
    for (const auto &router : m_routers) {
        Member member;
        member.address = router->address;
        member.dataCentre = router->node->settings.dataCentre;
        member.configVersion = router->node->endpoints.version();
        members->push_back(member);
    }
    for (const auto &router : m_routers)
        router->view = members;
}

void ConfigurationFleet::storeStep(std::size_t index)
{
    m_routers[index]->sync->storeStep(m_now);
}

void ConfigurationFleet::peerStep(std::size_t index)
{
    m_routers[index]->sync->peerStep(m_now);
}

void ConfigurationFleet::run(std::chrono::milliseconds time)
{
    const SteadyTime end = m_now + time;
    while (m_now < end) {
        std::shuffle(m_order.begin(), m_order.end(), m_random);
        for (const std::size_t index : m_order) {
            if (!m_routers[index]->frozen)
                runDueSteps(*m_routers[index]);
        }
        m_now += Tick;
    }
}

void ConfigurationFleet::runDueSteps(Router &router)
{
    const std::uint64_t before = router.node->endpoints.version();
    if (m_now >= router.nextStoreStep) {
        const unsigned watches = m_store.watches();
        const auto delay = router.sync->storeStep(m_now);
        const bool waited =
                m_store.watches() != watches && router.node->endpoints.version() == before;
        router.nextStoreStep = m_now + std::max(delay, waited ? WatchTimeout : Tick);
    }
    if (m_now >= router.nextHeartbeat) {
        exchangeHeartbeat(router.index);
        router.nextHeartbeat = m_now + HeartbeatInterval;
    }
    if (m_now >= router.nextPeerStep)
        router.nextPeerStep = m_now + router.sync->peerStep(m_now);
}

/// Exchanges a heartbeat with a random router: each receives the other's version.
void ConfigurationFleet::exchangeHeartbeat(std::size_t index)
{
    std::uniform_int_distribution<std::size_t> any(0, size() - 1);
    const Router &router = *m_routers[index];
    const Router &other = *m_routers[any(m_random)];
    if (other.frozen)
        return;
    router.sync->recordPeerVersion(other.address, other.node->endpoints.version());
    other.sync->recordPeerVersion(router.address, router.node->endpoints.version());
}

} // namespace almondmill::test
