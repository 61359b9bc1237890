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

template<typename Concerns>
bool isCalm(const std::vector<Disturbance> &disturbances, SteadyTime from, SteadyTime until,
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

std::string placeOf(const std::string &endpoint)
{
    return endpoint.substr(0, endpoint.find('.'));
}

std::size_t SoakHistory::beginDisturbance(Disturbance::What what, const std::string &name,
                                          SteadyTime now, bool planned)
{
    disturbances.push_back({what, name, now, SteadyTime::max(), planned});
    return disturbances.size() - 1;
}

bool SoakHistory::isRouterCalm(std::size_t router, SteadyTime from, SteadyTime until,
                               milliseconds settle, bool plannedToo) const
{
    const std::string name = routerName(router);
    return isCalm(disturbances, from - settle, until, [&](const Disturbance &disturbance) {
        if (disturbance.planned && !plannedToo)
            return false;
        return disturbance.what == Disturbance::What::Everything
               || (disturbance.what == Disturbance::What::Router && disturbance.name == name);
    });
}

bool SoakHistory::isEndpointCalm(const std::string &endpoint, SteadyTime from, SteadyTime until,
                                 milliseconds settle) const
{
    const std::string place = placeOf(endpoint);
    return isCalm(disturbances, from - settle, until, [&](const Disturbance &disturbance) {
        return disturbance.what == Disturbance::What::Everything
               || (disturbance.what == Disturbance::What::Endpoint && disturbance.name == place);
    });
}

bool SoakHistory::isAllCalm(SteadyTime from, SteadyTime until, milliseconds settle) const
{
    return isCalm(disturbances, from - settle, until, [](const Disturbance &) { return true; });
}

std::map<std::string, std::vector<const RequestRun *>> SoakHistory::runsByRequest() const
{
    std::map<std::string, std::vector<const RequestRun *>> byRequest;
    for (const RequestRun &run : runs)
        byRequest[run.requestId].push_back(&run);
    return byRequest;
}

} // namespace almondmill::soak
