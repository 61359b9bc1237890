#include "peerservice.h"

#include "grpcpeers.h"
#include "messages.h"
#include "peertraffic.h"

#include "almondmill/fleet/configurationexchange.h"
#include "almondmill/fleet/heartbeatexchange.h"
#include "almondmill/fleet/placementowner.h"
#include "almondmill/kernel/node.h"

namespace almondmill {

namespace {
constexpr std::chrono::milliseconds IndirectProbeTimeout{400};
} // namespace

PeerService::PeerService(Node &node, HeartbeatExchange &heartbeats, GrpcPeers &peers)
    : m_node(node)
    , m_heartbeats(heartbeats)
    , m_peers(peers)
{}

grpc::Status PeerService::Probe(grpc::ServerContext * /*context*/, const fleet::Heartbeat *request,
                                fleet::ProbeAnswer *answer)
{
    const auto now = std::chrono::steady_clock::now();
    countHeartbeatReceived(m_node.metrics, request->ByteSizeLong());
    *answer->mutable_heartbeat() = toMessage(m_heartbeats.answerProbe(fromMessage(*request), now));
    countHeartbeatSent(m_node.metrics, answer->ByteSizeLong());
    answer->set_reached(true);
    return grpc::Status::OK;
}

grpc::Status PeerService::ProbeFor(grpc::ServerContext * /*context*/,
                                   const fleet::IndirectProbe *request, fleet::ProbeAnswer *answer)
{
    const auto now = std::chrono::steady_clock::now();
    const Heartbeat own = m_heartbeats.answerProbe(fromMessage(request->heartbeat()), now);
    *answer->mutable_heartbeat() = toMessage(own);
    const fleet::Heartbeat probe = toMessage(m_heartbeats.ownHeartbeat(now));
    answer->set_reached(m_peers.probe(request->target(), probe, IndirectProbeTimeout));
    return grpc::Status::OK;
}

grpc::Status PeerService::PullConfig(grpc::ServerContext * /*context*/,
                                     const fleet::ConfigRequest *request,
                                     fleet::ConfigAnswer *answer)
{
    if (!m_node.configurationExchange)
        return grpc::Status::OK;
    const std::vector<std::string> haveParts(request->have_parts().begin(),
                                             request->have_parts().end());
    *answer =
            toMessage(m_node.configurationExchange->answerPull(request->have_version(), haveParts));
    return grpc::Status::OK;
}

grpc::Status PeerService::PushConfig(grpc::ServerContext * /*context*/,
                                     const fleet::ConfigAnswer *request,
                                     fleet::ConfigAccepted *answer)
{
    if (m_node.configurationExchange)
        answer->set_version(m_node.configurationExchange->acceptPush(fromMessage(*request)));
    return grpc::Status::OK;
}

grpc::Status PeerService::Place(grpc::ServerContext * /*context*/,
                                const fleet::PlaceRequest *request, fleet::PlaceAnswer *answer)
{
    if (m_node.placementOwner) {
        const auto now = std::chrono::steady_clock::now();
        *answer = toMessage(m_node.placementOwner->advise(fromMessage(*request), now));
    }
    return grpc::Status::OK;
}

} // namespace almondmill
