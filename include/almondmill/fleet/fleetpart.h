#pragma once

#include "almondmill/fleet/heartbeatexchange.h"
#include "almondmill/kernel/part.h"

#include <memory>

namespace almondmill {

class GrpcPeers;
class PeerListener;
class PeerService;

/// Speaks with the other routers: the peers' listener and the calls to peers that other parts use.
class FleetPart : public Part, public HeartbeatExchange
{
public:
    explicit FleetPart(Node &node);
    ~FleetPart() override;

    Stage stage() const override { return Stage::Fleet; }
    void dump(nlohmann::json &object) const override;
    Heartbeat answerProbe(const Heartbeat &heartbeat, SteadyTime now) override;
    Heartbeat ownHeartbeat(SteadyTime now) override;

    void start() override;
    void stop() override;

private:
    Node &m_node;
    std::unique_ptr<GrpcPeers> m_peers;
    std::unique_ptr<PeerService> m_service;
    std::unique_ptr<PeerListener> m_listener;
};

} // namespace almondmill
