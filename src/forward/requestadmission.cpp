#include "almondmill/forward/requestadmission.h"

#include "almondmill/admission/admissioncontrol.h"
#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/sendplanner.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"

#include <algorithm>
#include <string_view>

namespace almondmill {

using std::chrono::milliseconds;

namespace {

std::size_t levelOf(const RoutedRequest &placed)
{
    return placed.table.urgency().levelOf(placed.route, placed.account);
}

std::string_view nameOf(AccountShare share)
{
    switch (share) {
    case AccountShare::Exceeding:
        return "exceeding";
    case AccountShare::Within:
        return "within";
    case AccountShare::Even:
        break;
    }
    return "even";
}

/// Slots of an endpoint in a state that all routers together may use.
struct UsableSlots
{
    double slots;

    double operator()(const Available &) const { return slots; }
    /// Slow start lasts for about as long as a report of the load is underway.
    double operator()(const Resuming &) const { return slots; }
    double operator()(const Paused &) const { return 0; }
    double operator()(const Leaving &) const { return 0; }
};

} // namespace

RequestAdmission::RequestAdmission(ForwardingContext &context)
    : m_context(context)
{}

std::optional<milliseconds> RequestAdmission::refusal(const RoutedRequest &placed,
                                                      const ClockTimes &now)
{
    const ServiceLoad load = loadOf(placed.service, now);
    FairShares &shares = m_context.openRequests.of(placed.service).shares;
    AdmissionRequest request{levelOf(placed), placed.route.targetLatency, hash64(placed.request.id),
                             AccountShare::Even};
    if (placed.account) {
        shares.record(placed.account->name, load.residence, now.steady);
        const auto routers = static_cast<double>(m_context.peers.routerCount());
        request.share = shares.shareOf(placed.account->name, load.slots / routers, now.steady);
    }
    // A stream that has begun elsewhere is continued, and a route without a target has no limit.
    if (placed.request.resumeAfter || placed.route.targetLatency.count() == 0)
        return std::nullopt;
    const auto returnsAfter = AdmissionControl::refusal(load, request);
    if (!returnsAfter)
        return std::nullopt;
    const std::string label = "share=\"" + std::string(nameOf(request.share)) + "\"";
    m_context.metrics.counter("almondmill_admission_refusals_total", label).add();
    EventLine("request.overloaded")
            .add("id", placed.request.id)
            .add("service", placed.service)
            .add("level", request.level)
            .add("share", nameOf(request.share))
            .add("wait", load.expectedWait(request.level))
            .add("retry_after", *returnsAfter);
    return returnsAfter;
}

milliseconds RequestAdmission::expectedWait(const RoutedRequest &placed,
                                            const ClockTimes &now) const
{
    return loadOf(placed.service, now).expectedWait(levelOf(placed));
}

milliseconds RequestAdmission::longestWait(const std::string &service, const ClockTimes &now) const
{
    return loadOf(service, now).expectedWait(ServiceLoad::Levels - 1);
}

ServiceLoad RequestAdmission::loadOf(const std::string &service, const ClockTimes &now) const
{
    ServiceLoad load;
    load.slots = usableSlots(service, now);
    const auto &views = m_context.endpoints.ofService(service);
    const std::uint32_t slots = views.empty() ? 1 : views.front()->registration().slots;
    const ServicePerformance &performance = m_context.performances.of(service, slots);
    if (performance.hasLearntResidence())
        load.residence = performance.figures().residence;
    const ServiceLoad::ByLevel reported = m_context.peers.reportedOpenByLevel(shortHash(service));
    const double peersPerReporter = 1 + m_context.peers.silentPeersPerReporter();
    const OpenRequests::Service &own = m_context.openRequests.of(service);
    for (std::size_t level = 0; level < ServiceLoad::Levels; ++level)
        load.openByLevel[level] = own.open[level] + reported[level] * peersPerReporter;
    return load;
}

double RequestAdmission::usableSlots(const std::string &service, const ClockTimes &now) const
{
    double sum = 0;
    for (const auto &view : m_context.endpoints.ofService(service)) {
        if (!view->takesRequests())
            continue;
        const auto slots = static_cast<double>(view->registration().slots);
        sum += std::visit(UsableSlots{slots}, view->availability().stateAt(now.boot));
    }
    return sum;
}

} // namespace almondmill
