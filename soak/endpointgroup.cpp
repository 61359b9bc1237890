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

/// For which an endpoint serves after the store took its report that it leaves.
constexpr milliseconds DrainTime{2000};

/// An address is taken by another service no sooner.
constexpr milliseconds ReuseAfter{2000};

constexpr milliseconds DrainCheck{10};
constexpr std::chrono::seconds LongestReport{3};

constexpr std::uint32_t PlainSlots = 6;
constexpr std::uint32_t EngineSlots = 12;
constexpr milliseconds PlainWork{30};
constexpr milliseconds Prefill{40};

constexpr std::array RouterHeaders{"Hold",       "Tenant",     "Kv-From",
                                   "Kv-Backup",  "Cache-Salt", "Kv-Fetch-From",
                                   "Kv-Save-To", "Pin-Ms",     "Authorization"};

/// Whether something came through from the caller that only the router may set.
bool hasForeignHeaders(const standin::HttpRequest &request)
{
    const bool isForged =
            std::any_of(RouterHeaders.begin(), RouterHeaders.end(), [&](const char *name) {
                return rietwerk::headerOf(request, name) == "forged";
            });
    return isForged || !rietwerk::headerOf(request, "Pin-Ms").empty()
           || !rietwerk::headerOf(request, "Authorization").empty();
}

} // namespace

struct EndpointGroup::Place
{
    std::string name;
    std::string service;
    bool isEngine = false;
    std::string ip;
    std::unique_ptr<standin::FaultProxy> link;
    Lifetime *lifetime = nullptr;
    std::uint64_t lifetimes = 0;
    bool isChanging = false; ///< A lifetime ends or another is about to start.
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
    auto place = std::make_unique<Place>();
    place->name = name;
    place->service = service;
    place->isEngine = isEngine;
    place->ip = test::nextLoopbackAddress();
    place->link =
            std::make_unique<standin::FaultProxy>(m_loop, absl::StrCat(place->ip, ":", LinkPort),
                                                  absl::StrCat(place->ip, ":", ServingPort));
    startLifetime(*place, false);
    m_places.push_back(std::move(place));
}

const std::string &EndpointGroup::name(std::size_t place) const
{
    return m_places[place]->name;
}

standin::FaultProxy &EndpointGroup::link(std::size_t place)
{
    return *m_places[place]->link;
}

boost::asio::awaitable<void> EndpointGroup::crash(std::size_t index, milliseconds downFor,
                                                  bool sameId, bool otherService)
{
    Place &place = *m_places[index];
    if (place.isChanging)
        co_return;
    place.isChanging = true;
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::What::Endpoint, place.name, steadyNow());
    place.lifetime->crash();
    const bool changesService = otherService && !place.isEngine;
    co_await sleepFor(m_loop, changesService ? std::max(downFor, ReuseAfter) : downFor);
    if (changesService)
        place.service = place.service == "desk" ? "annex" : "desk";
    startLifetime(place, sameId && !changesService);
    m_history.endDisturbance(disturbance, steadyNow());
    place.isChanging = false;
}

boost::asio::awaitable<void> EndpointGroup::replace(std::size_t index, milliseconds servesOn)
{
    Place &place = *m_places[index];
    if (place.isChanging)
        co_return;
    place.isChanging = true;
    Lifetime &leaving = *place.lifetime;
    leaving.drain();
    const SteadyTime reportBy = steadyNow() + LongestReport;
    while (!saysThatItLeaves(leaving.plan().id) && steadyNow() < reportBy)
        co_await sleepFor(m_loop, DrainCheck);
    if (saysThatItLeaves(leaving.plan().id))
        m_history.leavings.push_back({leaving.plan().id, steadyNow()});
    co_await sleepFor(m_loop, DrainTime + servesOn);
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::What::Endpoint, place.name, steadyNow());
    leaving.crash();
    co_await sleepFor(m_loop, DrainCheck);
    startLifetime(place, false);
    m_history.endDisturbance(disturbance, steadyNow());
    place.isChanging = false;
}

boost::asio::awaitable<void> EndpointGroup::spoil(std::size_t index, double share,
                                                  milliseconds lasts)
{
    Place &place = *m_places[index];
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::What::Endpoint, place.name, steadyNow());
    constexpr double Kinds = 3;
    place.lifetime->setFaults({share / Kinds, share / Kinds, share / Kinds});
    co_await sleepFor(m_loop, lasts);
    place.lifetime->setFaults({});
    m_history.endDisturbance(disturbance, steadyNow());
}

std::vector<std::string> EndpointGroup::enginesBehind(std::uint64_t version) const
{
    std::vector<std::string> behind;
    for (const auto &place : m_places) {
        if (place->isEngine && place->lifetime->weightsVersion() < version)
            behind.push_back(place->lifetime->plan().id);
    }
    return behind;
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
    run.hasForeignHeaders = hasForeignHeaders(request);
    run.weightsVersion = weightsVersion;
    run.beganAt = steadyNow();
    m_history.runs.push_back(std::move(run));
}

void EndpointGroup::orderTaken(const rietwerk::EndpointPlan &endpoint,
                               const rietwerk::TakenOrder &order)
{
    m_history.orders.push_back({endpoint.id, order.holder, order.fencing, steadyNow()});
}

void EndpointGroup::startLifetime(Place &place, bool sameId)
{
    if (!sameId)
        ++place.lifetimes;
    rietwerk::EndpointPlan plan;
    plan.id = absl::StrCat(place.name, ".", place.lifetimes);
    plan.service = place.service;
    plan.dataCentre = "dc-1";
    plan.listen = absl::StrCat(place.ip, ":", ServingPort);
    plan.announced = place.link->address();
    plan.slots = place.isEngine ? EngineSlots : PlainSlots;
    plan.work = place.isEngine ? Prefill : PlainWork;
    if (place.isEngine) {
        plan.model = ModelName;
        plan.weightsVersion = m_weightsVersion;
    }
    m_lifetimes.push_back(
            std::make_unique<Lifetime>(m_loop, std::move(plan), m_storeAddress, *this));
    place.lifetime = m_lifetimes.back().get();
}

bool EndpointGroup::saysThatItLeaves(const std::string &id) const
{
    const auto object = m_store.find("servers", id);
    return object && object->spec.value("state", "") == "draining";
}

} // namespace almondmill::soak
