#pragma once

#include "almondmill/fleet/heartbeatexchange.h"
#include "almondmill/fleet/membership.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/part.h"
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

/// Speaks with the other routers: keeps the membership by sending its probes and answering theirs,
/// and offers the calls to peers that other parts use.
class FleetPart : public Part, public HeartbeatExchange, public MemberView
{
public:
    explicit FleetPart(Node &node);
    ~FleetPart() override;

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
    void handle(const ProbeResult &result, SteadyTime now);
    void publishView();
    void learn(const Heartbeat &heartbeat, SteadyTime now);
    void addEndpointRumours(Heartbeat &heartbeat, std::size_t members);
    void callFailed(const std::string &peer);
    void addVms(const std::vector<Vm> &vms);
    void logChanges(const Members &before, const Members &after) const;

    Node &m_node;
    mutable std::mutex m_mutex; ///< Held for a decision, never for a call.
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
