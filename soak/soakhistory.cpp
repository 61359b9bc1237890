#include "soakhistory.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;

bool overlaps(const Disturbance &disturbance, SteadyTime from, SteadyTime until)
{
    return disturbance.from <= until && disturbance.until >= from;
}

bool concernsSite(const Disturbance &disturbance)
{
    return disturbance.scope == Disturbance::Scope::Site
           || disturbance.scope == Disturbance::Scope::Store;
}

bool concernsRouter(const Disturbance &disturbance, const std::string &name)
{
    const bool isOfRouter = disturbance.scope == Disturbance::Scope::Router
                            || disturbance.scope == Disturbance::Scope::RouterProcess;
    return isOfRouter && disturbance.name == name;
}

bool concernsReplica(const Disturbance &disturbance, const std::string &replica)
{
    return disturbance.scope == Disturbance::Scope::Endpoint && disturbance.name == replica;
}

template<typename Concerns>
bool isUndisturbed(const std::vector<Disturbance> &disturbances, SteadyTime from, SteadyTime until,
                   Concerns &&concerns)
{
    return std::none_of(disturbances.begin(), disturbances.end(),
                        [&](const Disturbance &disturbance) {
                            return concerns(disturbance) && overlaps(disturbance, from, until);
                        });
}

} // namespace

std::string routerName(std::size_t router)
{
    return "router-" + std::to_string(router + 1);
}

Violation violationOf(const std::string &check, const Attempt &attempt, const std::string &text)
{
    return {check, absl::StrCat("request ", attempt.id, " ", attempt.path, " at ",
                                routerName(attempt.router), ": ", text)};
}

std::string replicaOf(const std::string &endpoint)
{
    return endpoint.substr(0, endpoint.find('.'));
}

std::size_t SoakHistory::beginDisturbance(Disturbance::Scope scope, const std::string &name,
                                          SteadyTime now, bool planned)
{
    disturbances.push_back({scope, name, now, SteadyTime::max(), planned});
    return disturbances.size() - 1;
}

bool SoakHistory::isRouterUndisturbed(std::size_t router, SteadyTime from, SteadyTime until,
                                      milliseconds settleTime, bool includePlanned) const
{
    const std::string name = routerName(router);
    return isUndisturbed(disturbances, from - settleTime, until,
                         [&](const Disturbance &disturbance) {
                             if (disturbance.planned && !includePlanned)
                                 return false;
                             return concernsSite(disturbance) || concernsRouter(disturbance, name);
                         });
}

bool SoakHistory::hasRouterRunThrough(std::size_t router, SteadyTime from, SteadyTime until) const
{
    const std::string name = routerName(router);
    return isUndisturbed(disturbances, from, until, [&](const Disturbance &disturbance) {
        return disturbance.scope == Disturbance::Scope::RouterProcess && disturbance.name == name;
    });
}

bool SoakHistory::isExchangeUndisturbed(std::size_t router, const std::string &endpoint,
                                        SteadyTime from, SteadyTime until,
                                        milliseconds settleTime) const
{
    const std::string name = routerName(router);
    const std::string replica = replicaOf(endpoint);
    return isUndisturbed(disturbances, from - settleTime, until,
                         [&](const Disturbance &disturbance) {
                             return disturbance.scope == Disturbance::Scope::Site
                                    || concernsRouter(disturbance, name)
                                    || concernsReplica(disturbance, replica);
                         });
}

bool SoakHistory::isEndpointUndisturbed(const std::string &endpoint, SteadyTime from,
                                        SteadyTime until, milliseconds settleTime) const
{
    const std::string replica = replicaOf(endpoint);
    return isUndisturbed(
            disturbances, from - settleTime, until, [&](const Disturbance &disturbance) {
                return concernsSite(disturbance) || concernsReplica(disturbance, replica);
            });
}

bool SoakHistory::isSiteUndisturbed(SteadyTime from, SteadyTime until,
                                    milliseconds settleTime) const
{
    return isUndisturbed(disturbances, from - settleTime, until,
                         [](const Disturbance &) { return true; });
}

std::map<std::string, std::vector<const RequestRun *>> SoakHistory::runsByRequest() const
{
    std::map<std::string, std::vector<const RequestRun *>> byRequest;
    for (const RequestRun &run : runs)
        byRequest[run.requestId].push_back(&run);
    return byRequest;
}

} // namespace almondmill::soak
