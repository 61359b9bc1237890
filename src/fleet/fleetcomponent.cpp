#include "almondmill/fleet/fleetcomponent.h"

#include "grpcpeers.h"
#include "peerlistener.h"
#include "probesender.h"
#include "vmwatcher.h"

#include "almondmill/endpoint/endpointrumours.h"
#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/kernel/log.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/randomid.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds TickInterval{100};
/// Longer than the probe timeouts of the membership protocol, because a late answer still carries
/// rumours.
constexpr std::chrono::milliseconds ProbeCallTimeout{1500};

MemberRumour ownRumour(const Node &node)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    MemberRumour self;
    self.address = node.settings.peersListen;
    self.dataCentre = node.settings.dataCentre;
    self.incarnation = node.incarnation;
    self.revision = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    return self;
}

const Member *findMember(const MemberView::Members &members, const std::string &address)
{
    const auto found = std::find_if(members.begin(), members.end(), [&](const Member &member) {
        return member.address == address;
    });
    return found == members.end() ? nullptr : &*found;
}

} // namespace

FleetComponent::FleetComponent(Node &node)
    : m_node(node)
    , m_membership(ownRumour(node), MembershipOptions{}, node.incarnation,
                   std::chrono::steady_clock::now())
    , m_view(std::make_shared<const Members>(m_membership.view()))
    , m_peers(std::make_unique<GrpcPeers>(node.metrics,
                                          [this](const std::string &peer) { callFailed(peer); }))
    , m_sender(std::make_unique<ProbeSender>(m_peers->channels(), node.metrics))
    , m_service(std::make_unique<PeerService>(node, *this, *m_peers))
    , m_vmWatcher(std::make_unique<VmWatcher>(
              node, [this](const std::vector<Vm> &vms) { handleVmList(vms); }))
{
    m_membership.addCandidates(node.settings.seeds);
    node.members = this;
    node.configurationPeers = m_peers.get();
    node.placementPeers = m_peers.get();
    node.metrics.setGauge("almondmill_members",
                          [this] { return static_cast<double>(members()->size()); });
}

FleetComponent::~FleetComponent()
{
    stop();
}

void FleetComponent::dump(nlohmann::json &object) const
{
    const std::shared_ptr<const Members> view = members();
    Json list = Json::array();
    for (const Member &member : *view) {
        list.push_back({{"address", member.address},
                        {"data_centre", member.dataCentre},
                        {"incarnation", member.incarnation},
                        {"config_version", member.configVersion},
                        {"leaving", member.leaving}});
    }
    object["members"] = std::move(list);
    object["channels"] = m_peers->channels().size();
    const std::lock_guard<std::mutex> lock(m_mutex);
    object["suspected"] = m_membership.suspectCount();
    object["lost"] = m_membership.lostCount();
}

const std::string &FleetComponent::self() const
{
    return m_node.settings.peersListen;
}

Heartbeat FleetComponent::answerProbe(const Heartbeat &heartbeat, SteadyTime now)
{
    processHeartbeat(heartbeat, now);
    Heartbeat answer;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        answer = m_membership.answer(heartbeat, now);
    }
    addEndpointRumours(answer, members()->size());
    return answer;
}

Heartbeat FleetComponent::ownHeartbeat(SteadyTime /*now*/)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.heartbeat();
}

void FleetComponent::start()
{
    m_listener = std::make_unique<PeerListener>(m_node.settings.peersListen, *m_service);
    m_thread = std::thread([this] { run(); });
    m_vmWatcher->start();
}

void FleetComponent::stop()
{
    m_stopping = true;
    m_vmWatcher->stop();
    if (m_thread.joinable())
        m_thread.join();
    m_listener.reset();
}

void FleetComponent::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    while (!m_stopping) {
        const auto now = std::chrono::steady_clock::now();
        if (now >= nextTick) {
            nextTick = now + TickInterval;
            tick(now);
            publishView();
        }
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(nextTick - now);
        if (const auto result = m_sender->next(wait))
            handleProbeResult(*result, std::chrono::steady_clock::now());
    }
}

void FleetComponent::tick(SteadyTime now)
{
    std::vector<Probe> probes;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_membership.setOwnState(m_node.endpoints.version(), m_node.inFlight, m_node.draining);
        if (m_node.endpointRumours && m_node.endpointRumours->urgent())
            m_membership.requestPush();
        probes = m_membership.tick(now);
    }
    const std::size_t memberCount = members()->size();
    for (Probe &probe : probes) {
        addEndpointRumours(probe.heartbeat, memberCount);
        m_sender->send(probe, ProbeCallTimeout);
    }
}

void FleetComponent::handleProbeResult(const ProbeResult &result, SteadyTime now)
{
    if (result.answered)
        processHeartbeat(result.heartbeat, now);
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (result.answered)
        m_membership.probeAnswered(result.id, result.heartbeat, result.reached, now);
    else
        m_membership.probeFailed(result.id, now);
}

void FleetComponent::publishView()
{
    std::shared_ptr<const Members> next;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_publishedVersion == m_membership.viewVersion())
            return;
        m_publishedVersion = m_membership.viewVersion();
        next = std::make_shared<const Members>(m_membership.view());
    }
    logMemberChanges(*members(), *next);
    m_view.publish(std::move(next));
}

void FleetComponent::processHeartbeat(const Heartbeat &heartbeat, SteadyTime now)
{
    if (m_node.configurationExchange)
        m_node.configurationExchange->recordPeerVersion(heartbeat.sender, heartbeat.configVersion);
    if (m_node.endpointRumours && !heartbeat.endpoints.empty())
        m_node.endpointRumours->apply(heartbeat.endpoints, now);
}

void FleetComponent::addEndpointRumours(Heartbeat &heartbeat, std::size_t members)
{
    if (!m_node.endpointRumours)
        return;
    heartbeat.endpoints = heartbeat.wholeView ? m_node.endpointRumours->all()
                                              : m_node.endpointRumours->take(members);
}

void FleetComponent::callFailed(const std::string &peer)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_membership.callFailed(peer);
}

/// Applies the VM list to the endpoints and adds the remaining VMs as possible routers.
void FleetComponent::handleVmList(const std::vector<Vm> &vms)
{
    if (m_node.endpointRumours)
        m_node.endpointRumours->applyVms(vms, std::chrono::steady_clock::now());
    const auto addresses = routerCandidates(vms, m_node);
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_membership.addCandidates(addresses);
}

void FleetComponent::logMemberChanges(const Members &before, const Members &after) const
{
    for (const Member &member : after) {
        const Member *earlier = findMember(before, member.address);
        if (!earlier || earlier->incarnation != member.incarnation)
            log(LogLevel::Info, "fleet",
                "Member " + member.address + " is live with incarnation "
                        + std::to_string(member.incarnation) + ".");
        else if (!earlier->leaving && member.leaving)
            log(LogLevel::Info, "fleet",
                "Member " + member.address + " reports that it is leaving.");
    }
    for (const Member &member : before) {
        if (findMember(after, member.address))
            continue;
        log(LogLevel::Warning, "fleet",
            "Member " + member.address
                    + " was declared dead: its suspicion was not refuted in time.");
        m_node.metrics.counter("almondmill_members_lost_total").add();
    }
}

namespace {

const ComponentRegistry::Registrar FleetRegistrar("fleet", [](Node &node) {
    return std::make_unique<FleetComponent>(node);
});

} // namespace

} // namespace almondmill
