#pragma once

#include <fleet.grpc.pb.h>

namespace almondmill {

class GrpcPeers;
class HeartbeatExchange;
struct Node;

/// Server side of the gRPC calls between routers. Thread-safe.
class PeerService : public fleet::Fleet::Service
{
public:
    PeerService(Node &node, HeartbeatExchange &heartbeats, GrpcPeers &peers);

    grpc::Status Probe(grpc::ServerContext *context, const fleet::Heartbeat *request,
                       fleet::ProbeAnswer *answer) override;
    grpc::Status ProbeFor(grpc::ServerContext *context, const fleet::IndirectProbe *request,
                          fleet::ProbeAnswer *answer) override;
    grpc::Status PullConfig(grpc::ServerContext *context, const fleet::ConfigRequest *request,
                            fleet::ConfigAnswer *answer) override;
    grpc::Status PushConfig(grpc::ServerContext *context, const fleet::ConfigAnswer *request,
                            fleet::ConfigAccepted *answer) override;
    grpc::Status Place(grpc::ServerContext *context, const fleet::PlaceRequest *request,
                       fleet::PlaceAnswer *answer) override;

private:
    Node &m_node;
    HeartbeatExchange &m_heartbeats;
    GrpcPeers &m_peers;
};

} // namespace almondmill
