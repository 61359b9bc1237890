#include "almondmill/orders/ordercontroller.h"

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/log.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/orders/enginecontrol.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

/// Longest time for which an order counts as in flight when the engine does not report the load.
constexpr std::chrono::milliseconds PendingOrderTimeout{10000};

constexpr const char *OrdersMetric = "almondmill_orders_total";

} // namespace

OrderController::OrderController(Lease &lease, EngineControl &engines, Metrics &metrics,
                                 std::chrono::milliseconds orderTimeout)
    : m_lease(lease)
    , m_engines(engines)
    , m_orderTimeout(orderTimeout)
    , m_accepted(metrics.counter(OrdersMetric, "result=\"accepted\""))
    , m_fenced(metrics.counter(OrdersMetric, "result=\"fenced\""))
    , m_unanswered(metrics.counter(OrdersMetric, "result=\"unanswered\""))
{}

void OrderController::dump(nlohmann::json &object) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    nlohmann::json waiting = nlohmann::json::object();
    for (const auto &[model, count] : m_outdated)
        waiting[model] = count;
    object["endpoints_waiting_for_weights"] = std::move(waiting);
}

void OrderController::runRound(const EndpointSet &endpoints, const Lease::Clock &clock)
{
    for (const Model &model : endpoints.configuration().inventory().models)
        runModel(model, endpoints, clock);
}

void OrderController::runModel(const Model &model, const EndpointSet &endpoints,
                               const Lease::Clock &clock)
{
    const auto &states = endpoints.forModel(model.name);
    std::vector<LoadCandidate> candidates;
    for (const auto &state : states)
        candidates.push_back(inspect(model, *state, clock()));
    recordOutdated(model.name, static_cast<std::size_t>(
                                       std::count_if(candidates.begin(), candidates.end(),
                                                     [](const auto &c) { return !c.hasWeights; })));
    for (const std::size_t index : planLoads(candidates, model.maxConcurrentLoads)) {
        if (!m_lease.mayOrder(clock()))
            return;
        sendOrder(model, *states[index], clock);
    }
}

LoadCandidate OrderController::inspect(const Model &model, EndpointState &state, SteadyTime now)
{
    LoadCandidate candidate;
    candidate.name = state.endpoint().name;
    candidate.takesWork = state.takesWork(now);
    candidate.load = std::max(state.inFlight(), state.reportedLoad());
    candidate.hasWeights = state.weightsHash() == hash64(model.weights);
    candidate.known = candidate.hasWeights;
    if (candidate.hasWeights && m_pending.count(candidate.name) == 0)
        return candidate;
    const auto status = m_engines.status(state.endpoint().address, m_orderTimeout);
    if (!status) {
        candidate.known = false;
        candidate.loading = m_pending.count(candidate.name) != 0;
        return candidate;
    }
    applyStatus(state, *status);
    candidate.known = true;
    candidate.hasWeights = status->weights == model.weights;
    candidate.loading = status->loading || isPending(candidate.name, *status, now);
    return candidate;
}

void OrderController::applyStatus(EndpointState &state, const EngineStatus &status) const
{
    state.setIncarnation(status.incarnation);
    state.setWeightsHash(hash64(status.weights));
}

bool OrderController::isPending(const std::string &endpoint, const EngineStatus &status,
                                SteadyTime now)
{
    const auto found = m_pending.find(endpoint);
    if (found == m_pending.end())
        return false;
    const bool done = !status.loading && status.weights == found->second.weights;
    if (!done && now < found->second.until)
        return true;
    m_pending.erase(found);
    return false;
}

void OrderController::sendOrder(const Model &model, EndpointState &state, const Lease::Clock &clock)
{
    const EngineOrder order{model.weights, m_lease.fencing()};
    m_pending[state.endpoint().name] = {model.weights, clock() + PendingOrderTimeout};
    const auto result = m_engines.order(state.endpoint().address, order, m_orderTimeout);
    if (std::holds_alternative<OrderAccepted>(result)) {
        m_accepted.add();
        log(LogLevel::Info, "orders",
            state.endpoint().name + " accepted the order to load weights " + model.weights + ".");
    } else if (const auto *fenced = std::get_if<OrderFenced>(&result)) {
        m_fenced.add();
        m_pending.erase(state.endpoint().name);
        log(LogLevel::Warning, "orders",
            state.endpoint().name + " rejected an order with fencing token "
                    + std::to_string(order.fencing) + ": it has seen token "
                    + std::to_string(fenced->seen) + ".");
    } else {
        m_unanswered.add();
        log(LogLevel::Warning, "orders",
            state.endpoint().name + " gave no valid answer to an order: "
                    + std::get<OrderUnanswered>(result).reason + ".");
    }
}

void OrderController::recordOutdated(const std::string &model, std::size_t count)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_outdated[model] = count;
}

} // namespace almondmill
