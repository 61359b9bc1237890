#pragma once

#include "almondmill/fleet/heartbeatexchange.h"
#include "almondmill/fleet/membership.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/component.h"
#include "almondmill/kernel/rcucell.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace almondmill {

class Counter;
class GrpcPeers;
class PeerListener;
class PeerService;
class ProbeSender;
class VmWatcher;
struct ProbeResult;
struct Vm;

/// Runs the communication with the other routers: drives the membership protocol over gRPC and
/// provides the peer calls that other components use.
class FleetComponent : public Component, public HeartbeatExchange, public MemberView
{
public:
    explicit FleetComponent(Node &node);
    ~FleetComponent() override;

    Stage stage() const override { return Stage::Fleet; }
    void dump(nlohmann::json &object) const override;

    std::shared_ptr<const Members> members() const override { return m_view.snapshot(); }
    const std::string &self() const override;

    Heartbeat answerProbe(const Heartbeat &heartbeat, SteadyTime now) override;
    Heartbeat ownHeartbeat(SteadyTime now) override;

    void start() override;
    void stop() override;

private:
    void run();
    void tick(SteadyTime now);
    void handleProbeResult(const ProbeResult &result, SteadyTime now);
    void publishView();
    void processHeartbeat(const Heartbeat &heartbeat, SteadyTime now);
    void addEndpointRumours(Heartbeat &heartbeat, std::size_t members);
    void callFailed(const std::string &peer);
    void handleVmList(const std::vector<Vm> &vms);
    void logMemberChanges(const Members &before, const Members &after) const;

    Node &m_node;
    mutable std::mutex m_mutex; ///< Guards `m_membership`; not held during calls to peers.
    Membership m_membership;
    std::uint64_t m_publishedVersion = 0;
    RcuCell<Members> m_view;
    std::unique_ptr<GrpcPeers> m_peers;
    std::unique_ptr<ProbeSender> m_sender;
    std::unique_ptr<PeerService> m_service;
    std::unique_ptr<PeerListener> m_listener;
    std::unique_ptr<VmWatcher> m_vmWatcher;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace almondmill
