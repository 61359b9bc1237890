#include "almondmill/rollout/weightsrollout.h"
#include "almondmill/kernel/steadynow.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/httpclient.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/rollout/orderlimits.h"
#include "almondmill/rollout/rolloutplan.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Largest answer of an engine to an order or a request for its report.
constexpr std::uint64_t MaxReportBytes = std::uint64_t(256) << 10U;

/// Polling interval of an engine that is carrying out an order. Loading takes several times as
/// long.
constexpr milliseconds ReportInterval{200};

/// Timeout for carrying out an order: the engine finishes its running requests, then loads.
constexpr milliseconds LoadTimeout{4000};

const char *nameOf(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadyHolds:
        return "already_holds";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::OtherEndpoint:
        return "other_endpoint";
    case OrderAnswer::Rejected:
        return "rejected";
    case OrderAnswer::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace

WeightsRollout::WeightsRollout(ForwardingContext &context, std::function<void()> announce)
    : m_context(context)
    , m_announce(std::move(announce))
{}

WeightsRollout::~WeightsRollout() = default;

bool WeightsRollout::detectOutdatedEngines(SteadyTime now)
{
    const std::size_t outdated = countOutdatedEngines();
    if (outdated != m_outdatedEngines)
        m_lastProgress = now;
    m_outdatedEngines = outdated;
    return outdated != 0;
}

std::size_t WeightsRollout::countOutdatedEngines() const
{
    std::size_t outdated = 0;
    for (const WeightsTarget &target : m_context.weights.all()) {
        for (const auto &[id, view] : m_context.endpoints.all()) {
            const auto version = view->weightsVersion(target.model);
            if (view->takesRequests() && version && *version < target.version)
                ++outdated;
        }
    }
    return outdated;
}

void WeightsRollout::step(const LeaseGrant &grant)
{
    m_grant = grant;
    for (const WeightsTarget &target : m_context.weights.all())
        stepModel(target.model, target.version, grant);
}

void WeightsRollout::stepModel(const std::string &model, std::uint64_t version,
                               const LeaseGrant &grant)
{
    if (!mayOrder())
        return;
    std::vector<View> views;
    std::vector<RolloutEngine> engines;
    for (const auto &[id, view] : m_context.endpoints.all()) {
        const auto current = view->weightsVersion(model);
        if (!current || !view->takesRequests())
            continue;
        views.push_back(view);
        EndpointLoad load = view->load();
        load += view->peerLoad();
        engines.push_back({*current, m_ordered.contains(id), load.openRequests});
    }
    const auto chosen = planRollout(engines, version);
    for (const std::size_t index : chosen) {
        views[index]->setLoadingUntil(steadyNow() + LoadTimeout);
        WeightsOrder order;
        order.endpointId = views[index]->id();
        order.model = model;
        order.version = version;
        order.holder = grant.holder;
        order.fencing = grant.fencing;
        m_ordered[order.endpointId] = version;
        asio::co_spawn(m_context.loop, updateEngine(views[index], order), asio::detached);
    }
    if (!chosen.empty())
        m_announce();
}

asio::awaitable<void> WeightsRollout::updateEngine(View view, WeightsOrder order)
{
    HttpClient client(m_context.loop.get_executor(), view->address(), MaxReportBytes);
    const auto before = co_await fetchReport(client);
    if (before && !applyReport(*view, *before, order) && !before->isBusy) {
        order.expectedOrders = before->orders;
        if (co_await sendOrder(client, order))
            co_await awaitWeights(client, view, order);
    } else if (!before) {
        view->health().recordNoAnswer(steadyNow());
        co_await sleepFor(m_context.loop, ReportInterval);
    } else if (before->isBusy) {
        co_await awaitWeights(client, view, order);
    }
    m_ordered.erase(order.endpointId);
    view->setLoadingUntil(steadyNow());
    m_announce();
    step(m_grant);
}

bool WeightsRollout::mayOrder() const
{
    return bootTime() + OrderTimeout < m_grant.until;
}

SteadyTime WeightsRollout::revoke()
{
    m_grant.until = SteadyTime();
    return m_lastOrderAt;
}

asio::awaitable<bool> WeightsRollout::sendOrder(HttpClient &client, WeightsOrder order)
{
    // Connecting may take long, for example while this VM is paused, so the permission is checked
    // after it.
    const bool isConnected = co_await client.connect(steadyNow() + OrderTimeout);
    if (!isConnected || !mayOrder() || order.fencing != m_grant.fencing) {
        EventLine("weights.order_withheld")
                .add("endpoint", order.endpointId)
                .add("model", order.model)
                .add("version", order.version)
                .add("fencing", order.fencing)
                .add("connected", isConnected)
                .add("permitted", mayOrder());
        co_return false;
    }
    m_lastOrderAt = bootTime();
    const auto outcome = co_await client.call(
            "POST", m_context.adapter->orderPath(), m_context.adapter->encodeOrderHeaders(order),
            m_context.adapter->encodeOrder(order), steadyNow() + OrderTimeout);
    const auto *reply = std::get_if<HttpReply>(&outcome);
    const OrderAnswer answer = reply ? m_context.adapter->decodeOrderAnswer(reply->head.status)
                                     : OrderAnswer::Unanswered;
    EventLine("weights.ordered")
            .add("endpoint", order.endpointId)
            .add("model", order.model)
            .add("version", order.version)
            .add("fencing", order.fencing)
            .add("expected_orders", order.expectedOrders.value_or(0))
            .add("answer", nameOf(answer));
    m_context.metrics
            .counter("almondmill_orders_total", std::string("result=\"") + nameOf(answer) + "\"")
            .add();
    // An unanswered order may have been accepted; the engine's next report shows whether it was.
    co_return answer == OrderAnswer::Accepted || answer == OrderAnswer::Unanswered
            || answer == OrderAnswer::AlreadyHolds;
}

asio::awaitable<void> WeightsRollout::awaitWeights(HttpClient &client, View view,
                                                   WeightsOrder order)
{
    const SteadyTime end = steadyNow() + LoadTimeout;
    while (steadyNow() < end && view->takesRequests()) {
        co_await sleepFor(m_context.loop, ReportInterval);
        const auto current = co_await fetchReport(client);
        if (!current || applyReport(*view, *current, order) || !current->isBusy)
            co_return;
    }
}

asio::awaitable<std::optional<EngineReport>> WeightsRollout::fetchReport(HttpClient &client)
{
    const auto outcome = co_await client.call("GET", m_context.adapter->reportPath(), "", "",
                                              steadyNow() + OrderTimeout);
    const auto *reply = std::get_if<HttpReply>(&outcome);
    if (!reply || reply->head.status != 200)
        co_return std::nullopt;
    try {
        co_return m_context.adapter->decodeReport(reply->body);
    } catch (const Error &error) {
        EventLine("engine.report_unreadable").add("reason", error.what());
        co_return std::nullopt;
    }
}

bool WeightsRollout::applyReport(EndpointView &view, const EngineReport &report,
                                 const WeightsOrder &order)
{
    for (const ServedModel &served : report.models) {
        if (served.name != order.model)
            continue;
        view.setWeightsVersion(served.name, served.weightsVersion);
        if (served.weightsVersion >= order.version && !report.isBusy) {
            EventLine("weights.loaded")
                    .add("endpoint", order.endpointId)
                    .add("model", order.model)
                    .add("version", served.weightsVersion);
            return true;
        }
    }
    return false;
}

} // namespace almondmill
