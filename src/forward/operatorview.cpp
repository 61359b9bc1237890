// Implementation of ForwardingRouter: what operators read, metrics and the dump.

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingrouter.h"
#include "almondmill/http/heldmemory.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/observe/eventlog.h"
#include "almondmill/store/asyncstore.h"
#include "almondmill/store/revision.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;

} // namespace

template<typename State>
double ForwardingRouter::countEndpoints() const
{
    const SteadyTime bootNow = bootTime();
    const auto &all = m_context.endpoints.all();
    return static_cast<double>(std::count_if(all.begin(), all.end(), [&](const auto &entry) {
        const EndpointView &view = *entry.second;
        return std::holds_alternative<State>(view.availability().stateAt(bootNow));
    }));
}

void ForwardingRouter::registerGauges()
{
    Metrics &metrics = m_context.metrics;
    metrics.setGauge("almondmill_configuration_version", [this] {
        const auto table = m_context.table.snapshot();
        return table ? static_cast<double>(table->version()) : 0.0;
    });
    metrics.setGauge("almondmill_endpoints",
                     [this] { return static_cast<double>(m_context.endpoints.all().size()); });
    metrics.setGauge("almondmill_endpoints_leaving", [this] { return countEndpoints<Leaving>(); });
    metrics.setGauge("almondmill_endpoints_paused", [this] { return countEndpoints<Paused>(); });
    metrics.setGauge("almondmill_endpoints_resuming",
                     [this] { return countEndpoints<Resuming>(); });
    metrics.setGauge("almondmill_endpoints_rate_limited",
                     [this] { return static_cast<double>(m_context.rateLimits.limitedCount()); });
    metrics.setGauge("almondmill_longest_slot_wait_seconds", [this] {
        std::chrono::duration<double> longest(0);
        for (const auto &[service, views] : m_context.endpoints.byService())
            longest = std::max(longest,
                               std::chrono::duration<double>(m_planner.admission().longestWait(
                                       service, ClockTimes::now())));
        return longest.count();
    });
    metrics.setGauge("almondmill_live_peers",
                     [this] { return static_cast<double>(m_context.peers.liveCount()); });
    metrics.setGauge("almondmill_parts_open", [this] {
        return static_cast<double>(m_context.partBreakers.openParts(steadyNow()).size());
    });
    metrics.setGauge("almondmill_held_bytes",
                     [this] { return static_cast<double>(m_context.heldMemory->usedBytes()); });
    metrics.setGauge("almondmill_sessions",
                     [this] { return static_cast<double>(m_callers.openSessions()); });
    metrics.setGauge("almondmill_holds_rollout_lease",
                     [this] { return m_leader.holdsLease() ? 1.0 : 0.0; });
    metrics.setGauge("almondmill_store_era",
                     [this] { return static_cast<double>(m_store->era()); });
    metrics.setGauge("almondmill_log_lines_dropped",
                     [] { return static_cast<double>(eventLog().droppedLines()); });
}

StatusServer::Reply ForwardingRouter::operatorsReply(const std::string &path) const
{
    if (path == "/metrics")
        return {Ok, m_context.metrics.prometheusText()};
    if (path == "/dump")
        return {Ok, dump(ClockTimes::now())};
    return {NotFound, ""};
}

nlohmann::json ForwardingRouter::describeConfiguration(SteadyTime now) const
{
    const std::string &unreadable = m_views.configurationError();
    nlohmann::json refused;
    if (!unreadable.empty())
        refused = {{"version", 0}, {"findings", nlohmann::json::array({unreadable})}};
    const bool isInForce = m_context.table.snapshot() != nullptr;
    return {{"age_ms", m_views.configurationAge(now).count()},
            {"platform_answer", isInForce ? "read" : "none read yet"},
            {"refused", refused}};
}

nlohmann::json ForwardingRouter::describePace(const EndpointPace &pace, SteadyTime bootNow)
{
    if (!pace.isInForce(bootNow))
        return {};
    return {{"why", nameOf(pace.cause())}, {"limit", pace.limitAt(bootNow)}, {"cuts", pace.cuts()}};
}

nlohmann::json ForwardingRouter::describeServices() const
{
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, performance] : m_context.performances.all()) {
        const PerformanceFigures &figures = performance.figures();
        services[name] = {{"prefill_tokens_per_ms", figures.prefillTokensPerMs},
                          {"fetched_tokens_per_ms", figures.fetchedTokensPerMs},
                          {"residence_ms", figures.residence.count()}};
    }
    return services;
}

nlohmann::json ForwardingRouter::describeEndpoints(SteadyTime bootNow) const
{
    nlohmann::json endpoints = nlohmann::json::object();
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const EndpointAvailability &availability = view->availability();
        endpoints[id] = {{"service", view->registration().service},
                         {"started_at", view->registration().startedAt.count()},
                         {"availability", nameOf(availability.stateAt(bootNow))},
                         {"pace", describePace(availability.pace(), bootNow)},
                         {"withheld", availability.withheld()},
                         {"rate_limit", describeRateLimit(*view)},
                         {"address", view->registration().address},
                         {"takes_requests", view->takesRequests()},
                         {"open_requests", view->openRequests()}};
    }
    return endpoints;
}

nlohmann::json ForwardingRouter::describeRateLimit(const EndpointView &view) const
{
    const auto perSecond = m_context.rateLimits.perSecond(view.incarnation());
    return perSecond ? nlohmann::json(*perSecond) : nlohmann::json();
}

nlohmann::json ForwardingRouter::describeWeights() const
{
    nlohmann::json weights = nlohmann::json::object();
    for (const WeightsTarget &target : m_context.weights.all())
        weights[target.model] = target.version;
    return weights;
}

nlohmann::json ForwardingRouter::describeOpenParts(SteadyTime now) const
{
    nlohmann::json parts = nlohmann::json::array();
    for (const PartBreakers::OpenPart &open : m_context.partBreakers.openParts(now))
        parts.push_back({{"part", open.part},
                         {"crashes", open.crashes},
                         {"retry_after_ms", open.retryAfter.count()}});
    return parts;
}

std::string ForwardingRouter::dump(const ClockTimes &now) const
{
    const auto table = m_context.table.snapshot();
    const nlohmann::json state{{"name", m_context.settings.name},
                               {"draining", m_context.isDraining()},
                               {"config_version", table ? table->version() : 0},
                               {"parts", {{"configuration", describeConfiguration(now.steady)}}},
                               {"registrations_revision", numberOf(m_context.directory.revision())},
                               {"store_era", m_store->era()},
                               {"sessions", m_callers.openSessions()},
                               {"live_peers", m_context.peers.liveCount()},
                               {"weights", describeWeights()},
                               {"open_parts", describeOpenParts(now.steady)},
                               {"services", describeServices()},
                               {"endpoints", describeEndpoints(now.boot)}};
    return state.dump(2) + "\n";
}

} // namespace almondmill
