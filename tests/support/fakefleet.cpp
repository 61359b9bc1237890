#include "support/fakefleet.h"

#include <algorithm>

namespace almondmill::test {

FakeFleet::FakeFleet(std::size_t nodes, std::uint64_t seed)
    : m_link([](std::size_t, std::size_t) { return true; })
    , m_seed(seed)
{
    for (std::size_t i = 0; i < nodes; ++i)
        restart(i);
}

bool FakeFleet::sees(std::size_t observer, std::size_t member) const
{
    const auto &seen = m_nodes[observer].seen;
    return member < seen.size() && seen[member];
}

bool FakeFleet::converged() const
{
    for (std::size_t observer = 0; observer < size(); ++observer) {
        for (std::size_t member = 0; member < size(); ++member) {
            if (running(observer) && sees(observer, member) != running(member))
                return false;
        }
    }
    return true;
}

void FakeFleet::run(std::chrono::milliseconds time)
{
    for (const SteadyTime end = m_now + time; m_now < end;)
        step();
}

std::optional<std::chrono::milliseconds>
FakeFleet::runUntilConverged(std::chrono::milliseconds limit)
{
    const SteadyTime start = m_now;
    while (!converged()) {
        if (m_now - start >= limit)
            return std::nullopt;
        step();
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_now - start);
}

void FakeFleet::restart(std::size_t node)
{
    if (node == m_nodes.size())
        m_nodes.emplace_back();
    MemberRumour self;
    self.address = address(node);
    self.dataCentre = "a";
    self.revision = m_revision++;
    self.incarnation = self.revision * 1000;
    m_nodes[node].membership =
            std::make_unique<Membership>(self, MembershipOptions{}, m_seed + m_revision, m_now);
    m_nodes[node].membership->addCandidates({address(0), address(1), address(2)});
    m_nodes[node].running = true;
    m_nodes[node].viewVersion = 0;
    m_nodes[node].seen.clear();
}

void FakeFleet::step()
{
    m_now += Step;
    for (std::size_t i = 0; i < size(); ++i) {
        if (!m_nodes[i].running)
            continue;
        const auto probes = m_nodes[i].membership->tick(m_now);
        countFalseDeaths();
        for (const Probe &probe : probes)
            deliver(i, probe);
    }
    countFalseDeaths();
}

void FakeFleet::deliver(std::size_t from, const Probe &probe)
{
    ++m_messages;
    const std::size_t first = indexOf(probe.via.empty() ? probe.target : probe.via);
    if (first >= size() || !m_link(from, first) || !m_nodes[first].running)
        return;
    const Heartbeat answer = m_nodes[first].membership->answer(probe.heartbeat, m_now);
    bool reached = true;
    if (!probe.via.empty()) {
        const std::size_t target = indexOf(probe.target);
        reached = roundTrip(first, target);
        if (reached)
            m_nodes[target].membership->answer(m_nodes[first].membership->heartbeat(), m_now);
    }
    if (m_link(first, from))
        m_nodes[from].membership->probeAnswered(probe.id, answer, reached, m_now);
}

bool FakeFleet::roundTrip(std::size_t from, std::size_t to) const
{
    return to < size() && m_nodes[to].running && m_link(from, to) && m_link(to, from);
}

std::size_t FakeFleet::indexOf(const std::string &address)
{
    return std::stoul(address.substr(address.find('-') + 1));
}

void FakeFleet::countFalseDeaths()
{
    for (std::size_t i = 0; i < size(); ++i) {
        Node &node = m_nodes[i];
        if (!node.running || node.viewVersion == node.membership->viewVersion())
            continue;
        node.viewVersion = node.membership->viewVersion();
        std::vector<bool> seen(size());
        for (const Member &member : node.membership->view())
            seen[indexOf(member.address)] = true;
        for (std::size_t j = 0; j < node.seen.size(); ++j)
            m_falseDeaths += node.seen[j] && !seen[j] && m_nodes[j].running ? 1 : 0;
        node.seen = std::move(seen);
    }
}

} // namespace almondmill::test
