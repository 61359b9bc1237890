#include "almondmill/fleet/fleetpart.h"

#include "grpcpeers.h"
#include "peerlistener.h"

#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/kernel/node.h"

#include <nlohmann/json.hpp>

namespace almondmill {

FleetPart::FleetPart(Node &node)
    : m_node(node)
    , m_peers(std::make_unique<GrpcPeers>(node.metrics, [](const std::string &) {}))
    , m_service(std::make_unique<PeerService>(node, *this, *m_peers))
{
    node.configurationPeers = m_peers.get();
    node.placementPeers = m_peers.get();
}

FleetPart::~FleetPart()
{
    stop();
}

void FleetPart::dump(nlohmann::json &object) const
{
    object["channels"] = m_peers->channels().size();
}

Heartbeat FleetPart::answerProbe(const Heartbeat &heartbeat, SteadyTime now)
{
    if (m_node.configurationExchange)
        m_node.configurationExchange->heardVersion(heartbeat.sender, heartbeat.configVersion);
    return ownHeartbeat(now);
}

Heartbeat FleetPart::ownHeartbeat(SteadyTime /*now*/)
{
    Heartbeat heartbeat;
    heartbeat.sender = m_node.settings.peersListen;
    heartbeat.dataCentre = m_node.settings.dataCentre;
    heartbeat.incarnation = m_node.incarnation;
    heartbeat.configVersion = m_node.endpoints.version();
    heartbeat.inFlight = m_node.inFlight;
    heartbeat.draining = m_node.draining;
    return heartbeat;
}

void FleetPart::start()
{
    m_listener = std::make_unique<PeerListener>(m_node.settings.peersListen, *m_service);
}

void FleetPart::stop()
{
    m_listener.reset();
}

namespace {

const PartRegistry::Registrar FleetRegistrar("fleet", [](Node &node) {
    return std::make_unique<FleetPart>(node);
});

} // namespace

} // namespace almondmill
