#include "almondmill/endpoint/endpointstatuspart.h"

#include "almondmill/endpoint/statusclient.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/node.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t ProbeThreads = 4;
constexpr std::size_t MostDue = 1024;
constexpr std::chrono::milliseconds ScheduleInterval{100};
constexpr std::chrono::milliseconds AssignInterval{1000};
constexpr std::chrono::milliseconds ProbeTimeout{500};

std::optional<ProberPlace> placeFor(const Node &node, const EndpointState &state)
{
    if (!node.members)
        return ProberPlace{};
    return proberPlace(state.nameHash(), state.endpoint().dataCentre, node.members->self(),
                       *node.members->members());
}

} // namespace

EndpointStatusPart::EndpointStatusPart(Node &node)
    : m_node(node)
    , m_board(node.endpoints)
    , m_probes(node.metrics.counter("almondmill_endpoint_probes_total"))
    , m_silences(node.metrics.counter("almondmill_endpoint_probes_unanswered_total"))
{
    node.endpointRumours = &m_board;
}

EndpointStatusPart::~EndpointStatusPart()
{
    stop();
}

void EndpointStatusPart::dump(nlohmann::json &object) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    object["probed"] = m_assignments.size();
    object["due"] = m_due.size();
}

void EndpointStatusPart::start()
{
    m_threads.emplace_back([this] { schedule(); });
    for (std::size_t i = 0; i < ProbeThreads; ++i)
        m_threads.emplace_back([this] { probe(); });
}

void EndpointStatusPart::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
}

void EndpointStatusPart::schedule()
{
    std::uint64_t version = 0;
    SteadyTime nextAssign;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        const auto now = std::chrono::steady_clock::now();
        queueDue(now);
        if (now >= nextAssign || version != m_node.endpoints.version()) {
            version = m_node.endpoints.version();
            nextAssign = now + AssignInterval;
            m_board.refresh(now);
            assign(now);
        }
        m_changed.wait_for(lock, ScheduleInterval, [&] { return m_stopping; });
    }
}

void EndpointStatusPart::assign(SteadyTime now)
{
    const auto wall = std::chrono::system_clock::now();
    std::vector<Assignment> next;
    const auto set = m_node.endpoints.snapshot();
    for (const auto &state : set->all()) {
        const auto place = placeFor(m_node, *state);
        if (!place)
            continue;
        const SteadyTime due = now + untilTurn(state->nameHash(), *place, wall);
        next.push_back({state->nameHash(), state->endpoint().address, *place, due});
    }
    m_assignments = std::move(next);
}

void EndpointStatusPart::queueDue(SteadyTime now)
{
    for (Assignment &assignment : m_assignments) {
        if (assignment.nextProbe > now || m_due.size() >= MostDue)
            continue;
        assignment.nextProbe += StatusInterval * static_cast<int>(assignment.place.probers);
        m_due.push_back(assignment);
    }
    if (!m_due.empty())
        m_changed.notify_all();
}

void EndpointStatusPart::probe()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_due.empty(); });
        if (m_stopping)
            return;
        const Assignment assignment = std::move(m_due.front());
        m_due.pop_front();
        lock.unlock();
        const auto status = fetchStatus(assignment.address, ProbeTimeout);
        m_probes.add();
        m_silences.add(status ? 0 : 1);
        m_board.observe(assignment.nameHash, status, std::chrono::steady_clock::now());
        lock.lock();
    }
}

namespace {

const PartRegistry::Registrar EndpointStatusRegistrar("endpoint-status", [](Node &node) {
    return std::make_unique<EndpointStatusPart>(node);
});

} // namespace

} // namespace almondmill
