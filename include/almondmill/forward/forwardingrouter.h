#pragma once

#include "almondmill/forward/callerlistener.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/partevidencearchive.h"
#include "almondmill/forward/requestforwarder.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/forward/statusserver.h"
#include "almondmill/forward/storestatesync.h"
#include "almondmill/metrics/trafficsums.h"
#include "almondmill/peers/peerexchange.h"
#include "almondmill/rollout/rolloutleader.h"
#include "almondmill/rollout/weightsrollout.h"

#include <nlohmann/json_fwd.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace almondmill {

class AsyncStore;
class EndpointPace;
class EndpointView;
struct ClockTimes;

/// A forwarding router process. Runs on one event loop, except for the roll-out leader's thread.
class ForwardingRouter
{
public:
    /// `settingsFile` is read again on SIGHUP. Throws Error when an address can't be parsed.
    ForwardingRouter(boost::asio::io_context &loop, const ForwarderSettings &settings,
                     std::string settingsFile);
    ~ForwardingRouter();

    /// Serves until SIGTERM, then drains until all sessions are closed or the grace period is
    /// nearly over.
    void run();

    /// The router's state as JSON text. Must be called on the event loop.
    std::string dump(const ClockTimes &now) const;

private:
    void registerGauges();

    /// Endpoints whose availability is a `State`.
    template<typename State>
    double countEndpoints() const;

    void maintainEndpoint(EndpointView &view, SteadyTime now);
    StatusServer::Reply readinessReply(const std::string &path) const;
    StatusServer::Reply operatorsReply(const std::string &path) const;
    nlohmann::json describeConfiguration(SteadyTime now) const;
    nlohmann::json describeServices() const;
    nlohmann::json describeEndpoints(SteadyTime bootNow) const;
    /// Limit of an endpoint in slow start, over all routers; null without one.
    static nlohmann::json describePace(const EndpointPace &pace, SteadyTime bootNow);
    /// Requests per second that the endpoint takes from all routers; null without a limit.
    nlohmann::json describeRateLimit(const EndpointView &view) const;
    nlohmann::json describeWeights() const;
    nlohmann::json describeOpenParts(SteadyTime now) const;
    void applyPeerMessage(const PeerMessage &message);
    boost::asio::awaitable<void> awaitTermination();
    boost::asio::awaitable<void> awaitReloads();
    void reload();
    boost::asio::awaitable<void> drain();
    boost::asio::awaitable<void> maintain();
    boost::asio::awaitable<void> watchRollout();
    boost::asio::awaitable<void> reportTraffic();

    boost::asio::io_context &m_loop;
    const std::string m_settingsFile;
    ForwardingContext m_context;
    TrafficSums m_traffic;
    std::unique_ptr<AsyncStore> m_store;
    StoreStateSync m_views;
    PeerExchange m_peers;
    PartEvidenceArchive m_evidenceArchive;
    WeightsRollout m_rollout;
    RolloutLeader m_leader;
    SendPlanner m_planner;
    RequestForwarder m_forwarder;
    CallerListener m_callers;
    StatusServer m_readiness;
    std::unique_ptr<StatusServer> m_operators; ///< Null when no operators' address is set.
};

} // namespace almondmill
