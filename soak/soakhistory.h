#pragma once

#include "records.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace almondmill::soak {

/// All that was seen in a soak, from outside of the routers.
class SoakHistory
{
public:
    std::deque<Attempt> attempts;
    std::deque<RequestRun> runs;
    std::vector<ConfigurationChange> configurations;
    std::vector<EndpointLeaving> leavings;
    std::vector<WeightsNamed> weights;
    std::vector<OrderTaken> orders;
    std::vector<Disturbance> disturbances;
    std::vector<Violation> seen; ///< What showed while the soak ran, such as a router that ended.

    /// Whether nothing disturbed that router from `settle` before `from` until `until`. Planned
    /// disturbances count unless `plannedToo` is false.
    bool isRouterCalm(std::size_t router, SteadyTime from, SteadyTime until,
                      std::chrono::milliseconds settle, bool plannedToo = true) const;

    /// The same of the place of an endpoint.
    bool isEndpointCalm(const std::string &endpoint, SteadyTime from, SteadyTime until,
                        std::chrono::milliseconds settle) const;

    /// The same of the whole site.
    bool isAllCalm(SteadyTime from, SteadyTime until, std::chrono::milliseconds settle) const;

    /// Begins a disturbance that lasts until `endDisturbance`. Returns its index.
    std::size_t beginDisturbance(Disturbance::What what, const std::string &name, SteadyTime now,
                                 bool planned = false);
    void endDisturbance(std::size_t index, SteadyTime now) { disturbances[index].until = now; }

    /// The runs of each request.
    std::map<std::string, std::vector<const RequestRun *>> runsByRequest() const;
};

/// Name under which a router is disturbed and reported.
std::string routerName(std::size_t router);

/// Name under which all lifetimes of an endpoint at one address are disturbed: "desk-1" of
/// "desk-1.3".
std::string placeOf(const std::string &endpoint);

} // namespace almondmill::soak
