#pragma once

#include "soakhistory.h"

#include "standins/rietwerk/endpointobserver.h"
#include "standins/rietwerk/endpointplan.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondmill::standin {
class FaultProxy;
namespace rietwerk {
class MetadataStore;
class RegisteredEndpoint;
} // namespace rietwerk
} // namespace almondmill::standin

namespace almondmill::soak {

/// The endpoints of a soak: replicas with a fixed address, each served by successive incarnations.
/// Records the requests that they execute. Belongs to the event loop and must outlive its run.
class EndpointGroup : public standin::rietwerk::EndpointObserver
{
public:
    EndpointGroup(boost::asio::io_context &loop, SoakHistory &history,
                  standin::rietwerk::MetadataStore &store, std::string storeAddress);
    ~EndpointGroup() override;

    /// Endpoints that start later ask for no pauses.
    void disablePauses() { m_pauseRatio = 0; }

    /// Adds a replica of that service and starts its first incarnation.
    void add(const std::string &replica, const std::string &service, bool isEngine);

    std::size_t size() const { return m_replicas.size(); }
    const std::string &name(std::size_t replica) const;
    standin::FaultProxy &link(std::size_t replica);

    /// Sets the weights' version of engines that start later.
    void setWeightsVersion(std::uint64_t version) { m_weightsVersion = version; }

    /// Ends the incarnation without draining; the next one starts after `downtime`. With
    /// `otherService` a replica of a plain service changes to the other one.
    boost::asio::awaitable<void> crash(std::size_t replica, std::chrono::milliseconds downtime,
                                       bool sameId, bool otherService);

    /// Lets the incarnation say that it leaves, in its answers and if wanted in its registration,
    /// and ends it `serveAfterDeadline` after its drain deadline; the next one starts then.
    boost::asio::awaitable<void> replace(std::size_t replica,
                                         std::chrono::milliseconds serveAfterDeadline,
                                         bool isRegisteredAsDraining);

    /// Makes `ratio` of the requests fail for `duration`.
    boost::asio::awaitable<void> failRequests(std::size_t replica, double ratio,
                                              std::chrono::milliseconds duration);

    /// Makes the incarnation name a limit of requests per second for `duration`.
    boost::asio::awaitable<void> limitRate(std::size_t replica, double perSecond,
                                           std::chrono::milliseconds duration);

    /// Engines whose weights are older than `version`.
    std::vector<std::string> outdatedEngines(std::uint64_t version) const;

private:
    using Incarnation = standin::rietwerk::RegisteredEndpoint;
    struct Replica;

    void requestBegan(const standin::rietwerk::EndpointPlan &endpoint,
                      const standin::HttpRequest &request, std::uint64_t weightsVersion) override;
    void requestRefused(const standin::rietwerk::EndpointPlan &endpoint,
                        const standin::HttpRequest &request,
                        std::optional<std::chrono::milliseconds> pause) override;
    void orderTaken(const standin::rietwerk::EndpointPlan &endpoint,
                    const standin::rietwerk::TakenOrder &order) override;

    void startIncarnation(Replica &replica, bool sameId);
    /// Waits until the store has the incarnation's state "draining", for a bounded time.
    /// Ends the limits that the endpoint named: its next incarnation starts without one, also under
    /// the same id.
    void endRateLimits(const std::string &id);
    boost::asio::awaitable<void> registerAsDraining(Incarnation &incarnation);
    bool isReportedDraining(const std::string &id) const;

    boost::asio::io_context &m_loop;
    SoakHistory &m_history;
    standin::rietwerk::MetadataStore &m_store;
    std::string m_storeAddress;
    std::uint64_t m_weightsVersion = 1;
    double m_pauseRatio = 0.002; ///< Of requests that begin a pause.
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Incarnation>> m_incarnations; ///< Includes ended ones.
};

} // namespace almondmill::soak
