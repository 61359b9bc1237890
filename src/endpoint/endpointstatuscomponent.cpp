#include "almondmill/endpoint/endpointstatuscomponent.h"

#include "almondmill/endpoint/statusclient.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/node.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t ProbeThreads = 4;
constexpr std::size_t MaxDueProbes = 1024;
constexpr std::chrono::milliseconds ScheduleInterval{100};
constexpr std::chrono::milliseconds AssignInterval{1000};
constexpr std::chrono::milliseconds ProbeTimeout{500};

std::optional<ProberSlot> slotFor(const Node &node, const EndpointState &state)
{
    if (!node.members)
        return ProberSlot{};
    return proberSlot(state.nameHash(), state.endpoint().dataCentre, node.members->self(),
                      *node.members->members());
}

} // namespace

EndpointStatusComponent::EndpointStatusComponent(Node &node)
    : m_node(node)
    , m_tracker(node.endpoints)
    , m_probes(node.metrics.counter("almondmill_endpoint_probes_total"))
    , m_unanswered(node.metrics.counter("almondmill_endpoint_probes_unanswered_total"))
{
    node.endpointRumours = &m_tracker;
}

EndpointStatusComponent::~EndpointStatusComponent()
{
    stop();
}

void EndpointStatusComponent::dump(nlohmann::json &object) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    object["probed"] = m_assignments.size();
    object["due"] = m_dueProbes.size();
}

void EndpointStatusComponent::start()
{
    m_threads.emplace_back([this] { schedule(); });
    for (std::size_t i = 0; i < ProbeThreads; ++i)
        m_threads.emplace_back([this] { probe(); });
}

void EndpointStatusComponent::stop()
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

void EndpointStatusComponent::schedule()
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
            m_tracker.refresh(now);
            assign(now);
        }
        m_changed.wait_for(lock, ScheduleInterval, [&] { return m_stopping; });
    }
}

void EndpointStatusComponent::assign(SteadyTime now)
{
    const auto wall = std::chrono::system_clock::now();
    std::vector<Assignment> next;
    const auto set = m_node.endpoints.snapshot();
    for (const auto &state : set->all()) {
        const auto slot = slotFor(m_node, *state);
        if (!slot)
            continue;
        const SteadyTime due = now + timeUntilNextSlot(state->nameHash(), *slot, wall);
        next.push_back({state->nameHash(), clientFor(*state), *slot, due});
    }
    m_assignments = std::move(next);
}

/// Reuses the connection to an endpoint that was already assigned to this router.
std::shared_ptr<StatusClient> EndpointStatusComponent::clientFor(const EndpointState &state) const
{
    const std::string &address = state.endpoint().address;
    const auto found = std::find_if(m_assignments.begin(), m_assignments.end(),
                                    [&](const Assignment &assignment) {
                                        return assignment.nameHash == state.nameHash()
                                               && assignment.client->address() == address;
                                    });
    if (found != m_assignments.end())
        return found->client;
    return std::make_shared<StatusClient>(address, ProbeTimeout);
}

void EndpointStatusComponent::queueDue(SteadyTime now)
{
    for (Assignment &assignment : m_assignments) {
        if (assignment.nextProbe > now || m_dueProbes.size() >= MaxDueProbes)
            continue;
        assignment.nextProbe += StatusInterval * static_cast<int>(assignment.slot.probers);
        m_dueProbes.push_back(assignment);
    }
    if (!m_dueProbes.empty())
        m_changed.notify_all();
}

void EndpointStatusComponent::probe()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [&] { return m_stopping || !m_dueProbes.empty(); });
        if (m_stopping)
            return;
        const Assignment assignment = std::move(m_dueProbes.front());
        m_dueProbes.pop_front();
        lock.unlock();
        const auto status = assignment.client->fetch();
        m_probes.add();
        m_unanswered.add(status ? 0 : 1);
        m_tracker.recordProbe(assignment.nameHash, status, std::chrono::steady_clock::now());
        lock.lock();
    }
}

namespace {

const ComponentRegistry::Registrar EndpointStatusRegistrar("endpoint-status", [](Node &node) {
    return std::make_unique<EndpointStatusComponent>(node);
});

} // namespace

} // namespace almondmill
