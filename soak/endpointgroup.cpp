#include "endpointgroup.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/steadynow.h"
#include "standins/faultproxy.h"
#include "standins/rietwerk/answertext.h"
#include "standins/rietwerk/metadatastore.h"
#include "standins/rietwerk/registeredendpoint.h"
#include "support/loopback.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace almondmill::soak {

namespace rietwerk = standin::rietwerk;

namespace {

using std::chrono::milliseconds;

constexpr int ServingPort = 9000;
constexpr int LinkPort = 9001;

/// An endpoint serves for this long after the store has accepted its state "draining".
constexpr milliseconds DrainTime{2000};

/// An address is reused by another service after this time at the earliest.
constexpr milliseconds ReuseAfter{2000};

constexpr milliseconds DrainCheck{10};
constexpr std::chrono::seconds ReportTimeout{3};

constexpr std::uint32_t PlainSlots = 6;
constexpr std::uint32_t EngineSlots = 12;
constexpr milliseconds PlainWork{30};
constexpr milliseconds Prefill{40};

constexpr std::array RouterHeaders{"Hold",       "Tenant",     "Kv-From",
                                   "Kv-Backup",  "Cache-Salt", "Kv-Fetch-From",
                                   "Kv-Save-To", "Pin-Ms",     "Authorization"};

/// Whether the router forwarded a header from the caller that only the router may set.
bool hasForgedHeaders(const standin::HttpRequest &request)
{
    const bool isForged =
            std::any_of(RouterHeaders.begin(), RouterHeaders.end(), [&](const char *name) {
                return rietwerk::headerOf(request, name) == "forged";
            });
    return isForged || !rietwerk::headerOf(request, "Pin-Ms").empty()
           || !rietwerk::headerOf(request, "Authorization").empty();
}

} // namespace

struct EndpointGroup::Replica
{
    std::string name;
    std::string service;
    bool isEngine = false;
    std::string ip;
    std::unique_ptr<standin::FaultProxy> link;
    Incarnation *incarnation = nullptr;
    std::uint64_t incarnationCount = 0;
    bool isRestarting = false; ///< An incarnation is ending or the next one has not started.
};

EndpointGroup::EndpointGroup(boost::asio::io_context &loop, SoakHistory &history,
                             rietwerk::MetadataStore &store, std::string storeAddress)
    : m_loop(loop)
    , m_history(history)
    , m_store(store)
    , m_storeAddress(std::move(storeAddress))
{}

EndpointGroup::~EndpointGroup() = default;

void EndpointGroup::add(const std::string &name, const std::string &service, bool isEngine)
{
    auto replica = std::make_unique<Replica>();
    replica->name = name;
    replica->service = service;
    replica->isEngine = isEngine;
    replica->ip = test::nextLoopbackAddress();
    replica->link =
            std::make_unique<standin::FaultProxy>(m_loop, absl::StrCat(replica->ip, ":", LinkPort),
                                                  absl::StrCat(replica->ip, ":", ServingPort));
    startIncarnation(*replica, false);
    m_replicas.push_back(std::move(replica));
}

const std::string &EndpointGroup::name(std::size_t replica) const
{
    return m_replicas[replica]->name;
}

standin::FaultProxy &EndpointGroup::link(std::size_t replica)
{
    return *m_replicas[replica]->link;
}

boost::asio::awaitable<void> EndpointGroup::crash(std::size_t index, milliseconds downtime,
                                                  bool sameId, bool otherService)
{
    Replica &replica = *m_replicas[index];
    if (replica.isRestarting)
        co_return;
    replica.isRestarting = true;
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::Endpoint, replica.name, steadyNow());
    endRateLimits(replica.incarnation->plan().id);
    replica.incarnation->crash();
    const bool changesService = otherService && !replica.isEngine;
    co_await sleepFor(m_loop, changesService ? std::max(downtime, ReuseAfter) : downtime);
    if (changesService)
        replica.service = replica.service == "desk" ? "annex" : "desk";
    startIncarnation(replica, sameId && !changesService);
    m_history.endDisturbance(disturbance, steadyNow());
    replica.isRestarting = false;
}

boost::asio::awaitable<void> EndpointGroup::replace(std::size_t index,
                                                    milliseconds serveAfterDeadline,
                                                    bool isRegisteredAsDraining)
{
    Replica &replica = *m_replicas[index];
    if (replica.isRestarting)
        co_return;
    replica.isRestarting = true;
    Incarnation &draining = *replica.incarnation;
    if (isRegisteredAsDraining)
        co_await registerAsDraining(draining);
    else
        draining.announceLeaving();
    co_await sleepFor(m_loop, DrainTime + serveAfterDeadline);
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::Endpoint, replica.name, steadyNow());
    endRateLimits(draining.plan().id);
    draining.crash();
    co_await sleepFor(m_loop, DrainCheck);
    startIncarnation(replica, false);
    m_history.endDisturbance(disturbance, steadyNow());
    replica.isRestarting = false;
}

boost::asio::awaitable<void> EndpointGroup::failRequests(std::size_t index, double ratio,
                                                         milliseconds duration)
{
    Replica &replica = *m_replicas[index];
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::Endpoint, replica.name, steadyNow());
    constexpr double FaultKindCount = 3;
    replica.incarnation->setFaults(
            {ratio / FaultKindCount, ratio / FaultKindCount, ratio / FaultKindCount});
    co_await sleepFor(m_loop, duration);
    replica.incarnation->setFaults({});
    m_history.endDisturbance(disturbance, steadyNow());
}

boost::asio::awaitable<void> EndpointGroup::limitRate(std::size_t index, double perSecond,
                                                      milliseconds duration)
{
    // Incarnations that end are kept until the end of the soak.
    Incarnation &incarnation = *m_replicas[index]->incarnation;
    if (incarnation.hasRateLimit())
        co_return;
    const std::size_t record = m_history.rateLimits.size();
    m_history.rateLimits.push_back(
            {incarnation.plan().id, perSecond, steadyNow(), SteadyTime::max()});
    incarnation.setRateLimit(perSecond);
    co_await sleepFor(m_loop, duration);
    incarnation.setRateLimit(std::nullopt);
    RateLimitStated &stated = m_history.rateLimits[record];
    stated.until = std::min(stated.until, steadyNow());
}

void EndpointGroup::endRateLimits(const std::string &id)
{
    for (RateLimitStated &limit : m_history.rateLimits) {
        if (limit.endpoint == id)
            limit.until = std::min(limit.until, steadyNow());
    }
}

boost::asio::awaitable<void> EndpointGroup::registerAsDraining(Incarnation &incarnation)
{
    incarnation.drain();
    const std::string &id = incarnation.plan().id;
    const SteadyTime reportBy = steadyNow() + ReportTimeout;
    while (!isReportedDraining(id) && steadyNow() < reportBy)
        co_await sleepFor(m_loop, DrainCheck);
    if (isReportedDraining(id))
        m_history.drainings.push_back({id, steadyNow()});
}

std::vector<std::string> EndpointGroup::outdatedEngines(std::uint64_t version) const
{
    std::vector<std::string> outdated;
    for (const auto &replica : m_replicas) {
        if (replica->isEngine && replica->incarnation->weightsVersion() < version)
            outdated.push_back(replica->incarnation->plan().id);
    }
    return outdated;
}

void EndpointGroup::requestBegan(const rietwerk::EndpointPlan &endpoint,
                                 const standin::HttpRequest &request, std::uint64_t weightsVersion)
{
    RequestRun run;
    run.requestId = rietwerk::headerOf(request, "Request-Id");
    run.endpoint = endpoint.id;
    run.service = endpoint.service;
    run.path.assign(request.target().data(), request.target().size());
    run.body = rietwerk::bodyFor(request);
    run.account = rietwerk::headerOf(request, "Tenant");
    run.hasForgedHeaders = hasForgedHeaders(request);
    run.weightsVersion = weightsVersion;
    run.beganAt = steadyNow();
    m_history.runs.push_back(std::move(run));
}

void EndpointGroup::requestRefused(const rietwerk::EndpointPlan &endpoint,
                                   const standin::HttpRequest &request,
                                   std::optional<milliseconds> pause)
{
    m_history.refusals.push_back(
            {rietwerk::headerOf(request, "Request-Id"), endpoint.id, steadyNow(), pause});
}

void EndpointGroup::orderTaken(const rietwerk::EndpointPlan &endpoint,
                               const rietwerk::TakenOrder &order)
{
    m_history.orders.push_back({endpoint.id, order.holder, order.fencing, steadyNow()});
}

void EndpointGroup::startIncarnation(Replica &replica, bool sameId)
{
    if (!sameId)
        ++replica.incarnationCount;
    rietwerk::EndpointPlan plan;
    plan.id = absl::StrCat(replica.name, ".", replica.incarnationCount);
    plan.service = replica.service;
    plan.dataCentre = "dc-1";
    plan.listen = absl::StrCat(replica.ip, ":", ServingPort);
    plan.announced = replica.link->address();
    plan.slots = replica.isEngine ? EngineSlots : PlainSlots;
    plan.pauseRatio = m_pauseRatio;
    plan.work = replica.isEngine ? Prefill : PlainWork;
    if (replica.isEngine) {
        plan.model = ModelName;
        plan.weightsVersion = m_weightsVersion;
    }
    m_incarnations.push_back(
            std::make_unique<Incarnation>(m_loop, std::move(plan), m_storeAddress, *this));
    replica.incarnation = m_incarnations.back().get();
}

bool EndpointGroup::isReportedDraining(const std::string &id) const
{
    const auto object = m_store.find("servers", id);
    return object && object->spec.value("state", "") == "draining";
}

} // namespace almondmill::soak
