#pragma once

#include "records.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace almondmill::soak {

/// Everything that was observed in a soak from outside the router processes.
class SoakHistory
{
public:
    std::deque<Attempt> attempts;
    std::deque<RequestRun> runs;
    std::deque<RequestRefusal> refusals;
    std::vector<RateLimitStated> rateLimits;
    std::vector<ConfigurationChange> configurations;
    std::vector<EndpointDraining> drainings;
    std::vector<WeightsPublished> weights;
    std::vector<OrderTaken> orders;
    std::vector<Disturbance> disturbances;
    /// Violations detected while the soak ran, such as a router that exited.
    std::vector<Violation> runtimeViolations;

    /// Whether no disturbance of that router overlaps the period from `settleTime` before `from` to
    /// `until`. Planned disturbances count unless `includePlanned` is false.
    bool isRouterUndisturbed(std::size_t router, SteadyTime from, SteadyTime until,
                             std::chrono::milliseconds settleTime,
                             bool includePlanned = true) const;

    /// Whether no disturbance of the endpoint's replica overlaps that period.
    bool isEndpointUndisturbed(const std::string &endpoint, SteadyTime from, SteadyTime until,
                               std::chrono::milliseconds settleTime) const;

    /// Whether the router's process neither ended nor was suspended in that period.
    bool hasRouterRunThrough(std::size_t router, SteadyTime from, SteadyTime until) const;

    /// Whether no disturbance of the router, of the endpoint's replica or of the soak itself
    /// overlaps the period from `settleTime` before `from` to `until`. Those of the store don't
    /// count.
    bool isExchangeUndisturbed(std::size_t router, const std::string &endpoint, SteadyTime from,
                               SteadyTime until, std::chrono::milliseconds settleTime) const;

    /// Whether no disturbance of any kind overlaps that period.
    bool isSiteUndisturbed(SteadyTime from, SteadyTime until,
                           std::chrono::milliseconds settleTime) const;

    /// Records a disturbance that lasts until `endDisturbance`. Returns its index.
    std::size_t beginDisturbance(Disturbance::Scope scope, const std::string &name, SteadyTime now,
                                 bool planned = false);
    void endDisturbance(std::size_t index, SteadyTime now) { disturbances[index].until = now; }

    /// The runs of each request by its id.
    std::map<std::string, std::vector<const RequestRun *>> runsByRequest() const;
};

/// Name of a router in disturbances and reports, such as "router-1".
std::string routerName(std::size_t router);

/// Name of the replica in disturbances, common to all its incarnations: "desk-1" of "desk-1.3".
std::string replicaOf(const std::string &endpoint);

} // namespace almondmill::soak
