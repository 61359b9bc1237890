// The part of Membership that decides whom to probe and what silence means.

#include "almondmill/fleet/membership.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr std::size_t UrgentProbesATick = 2;
constexpr std::size_t SuspectProbesATick = 4;
} // namespace

std::vector<Probe> Membership::tick(SteadyTime now)
{
    std::vector<Probe> probes;
    shiftAfterFreeze(now);
    expireProbes(now, probes);
    expireSuspicions(now);
    forgetOldDead(now);
    ringTargets();
    probeUrgentTargets(now, probes);
    probeNextTarget(now, probes);
    probeOwnSuspects(now, probes);
    probeLost(now, probes);
    pushUrgentRumours(now, probes);
    return probes;
}

void Membership::probeAnswered(std::uint64_t id, const Heartbeat &heartbeat, bool reached,
                               SteadyTime now)
{
    takeIn(heartbeat, now);
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const std::string target = found->second.target;
    if (reached)
        forgetProbesOf(target);
    else
        probeFailed(id, now);
}

void Membership::probeFailed(std::uint64_t id, SteadyTime now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    // A direct probe that failed early is followed up with the next tick.
    if (!found->second.indirect) {
        found->second.deadline = std::min(found->second.deadline, now);
        return;
    }
    const PendingProbe probe = found->second;
    m_pending.erase(found);
    endUnanswered(probe, now);
}

void Membership::callFailed(const std::string &address)
{
    const auto found = m_entries.find(address);
    if (found != m_entries.end() && found->second.rumour.state == MemberState::Alive)
        m_urgentTargets.insert(address);
}

/// Time in which this process did not run proves nothing about others.
void Membership::shiftAfterFreeze(SteadyTime now)
{
    const auto gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= m_options.frozenAfter)
        return;
    m_pending.clear();
    for (auto &[address, entry] : m_entries) {
        if (entry.rumour.state == MemberState::Suspect)
            entry.since = std::min(entry.since + gap, now);
    }
}

void Membership::expireProbes(SteadyTime now, std::vector<Probe> &probes)
{
    std::vector<PendingProbe> expired;
    std::erase_if(m_pending, [&](const auto &item) {
        if (item.second.deadline > now)
            return false;
        expired.push_back(item.second);
        return true;
    });
    for (const PendingProbe &probe : expired) {
        if (probe.lost)
            continue;
        if (probe.indirect)
            endUnanswered(probe, now);
        else if (!isProbedByOthers(probe.target))
            startIndirect(probe.target, now, probes);
    }
}

void Membership::expireSuspicions(SteadyTime now)
{
    if (m_suspectCount == 0)
        return;
    for (auto &[address, entry] : m_entries) {
        if (entry.rumour.state != MemberState::Suspect
            || now - entry.since < m_options.suspicionTime)
            continue;
        setState(entry, MemberState::Dead, now);
        announce(address);
    }
}

void Membership::forgetOldDead(SteadyTime now)
{
    if (m_deadCount == 0)
        return;
    std::erase_if(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        const bool old =
                now - entry.since >= m_options.lostKept || m_deadCount > m_options.lostLimit;
        if (entry.rumour.state != MemberState::Dead || !old)
            return false;
        m_addressByKey.erase(hash64(item.first));
        --m_deadCount;
        return true;
    });
}

void Membership::probeUrgentTargets(SteadyTime now, std::vector<Probe> &probes)
{
    for (std::size_t sent = 0; sent < UrgentProbesATick && !m_urgentTargets.empty();) {
        const std::string target = *m_urgentTargets.begin();
        m_urgentTargets.erase(m_urgentTargets.begin());
        const auto found = m_entries.find(target);
        if (found == m_entries.end() || !found->second.worthProbing() || isProbed(target))
            continue;
        probes.push_back(makeProbe(target, now, false));
        ++sent;
    }
}

void Membership::probeNextTarget(SteadyTime now, std::vector<Probe> &probes)
{
    if (now < m_nextProbe || m_targets.empty())
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now);
    if (m_order.empty()) {
        m_order = m_targets;
        std::shuffle(m_order.begin(), m_order.end(), m_random);
    }
    const std::string target = m_order.back();
    m_order.pop_back();
    const bool current = std::find(m_targets.begin(), m_targets.end(), target) != m_targets.end();
    if (current && !isProbed(target))
        probes.push_back(makeProbe(target, now, false));
}

/// A suspected member must hear of it to refute.
void Membership::probeOwnSuspects(SteadyTime now, std::vector<Probe> &probes)
{
    if (m_suspectCount == 0 || now < m_nextSuspectProbe)
        return;
    m_nextSuspectProbe = now + m_options.probeInterval;
    std::size_t sent = 0;
    for (const auto &[address, entry] : m_entries) {
        if (entry.rumour.state != MemberState::Suspect || !entry.suspectedHere)
            continue;
        probes.push_back(makeProbe(address, now, true));
        if (++sent == SuspectProbesATick)
            return;
    }
}

/// Members held dead are tried at a low rate, so that the sides of a cut find each other.
void Membership::probeLost(SteadyTime now, std::vector<Probe> &probes)
{
    if (now < m_nextLost || lostCount() == 0)
        return;
    m_nextLost = now + lostInterval();
    const bool alone = m_entries.size() == m_deadCount;
    const std::size_t count = alone ? m_options.joinProbes : 1;
    for (std::size_t i = 0; i < std::min(count, lostCount()); ++i) {
        if (m_lostOrder.empty())
            refillLostOrder();
        const std::string address = m_lostOrder.back();
        m_lostOrder.pop_back();
        const auto found = m_entries.find(address);
        const bool lost =
                found == m_entries.end() || found->second.rumour.state == MemberState::Dead;
        if (lost && !isProbed(address))
            probes.push_back(makeProbe(address, now, true));
    }
}

std::chrono::milliseconds Membership::lostInterval() const
{
    if (m_entries.size() == m_deadCount)
        return m_options.joinInterval;
    return std::clamp(m_options.lostCycle / static_cast<int>(lostCount()),
                      m_options.leastLostInterval, m_options.mostLostInterval);
}

void Membership::refillLostOrder()
{
    m_lostOrder.assign(m_candidates.begin(), m_candidates.end());
    for (const auto &[address, entry] : m_entries) {
        if (entry.rumour.state == MemberState::Dead)
            m_lostOrder.push_back(address);
    }
    std::shuffle(m_lostOrder.begin(), m_lostOrder.end(), m_random);
}

void Membership::pushUrgentRumours(SteadyTime now, std::vector<Probe> &probes)
{
    while (m_nextCredit <= now) {
        m_nextCredit += m_options.pushCredit;
        m_pushCredit = std::min(m_pushCredit + 1, m_options.mostPushCredit);
    }
    const bool urgent = m_pushRequested || m_rumours.hasSentFewerThan(m_options.urgentSends);
    if (!urgent || now < m_nextPush)
        return;
    m_pushRequested = false;
    m_nextPush = now + m_options.pushInterval;
    std::vector<std::string> targets = m_targets;
    std::shuffle(targets.begin(), targets.end(), m_random);
    const std::size_t count = std::min({targets.size(), m_options.pushFanout, m_pushCredit});
    m_pushCredit -= count;
    for (std::size_t i = 0; i < count; ++i)
        probes.push_back(makeProbe(targets[i], now, false));
}

Probe Membership::makeProbe(const std::string &target, SteadyTime now, bool lost)
{
    Probe probe;
    probe.id = ++m_nextProbeId;
    probe.target = target;
    probe.heartbeat = baseHeartbeat();
    const auto found = m_entries.find(target);
    if (found != m_entries.end() && found->second.rumour.state != MemberState::Alive)
        probe.heartbeat.members.push_back(found->second.rumour);
    const bool known = found != m_entries.end() && found->second.rumour.state != MemberState::Dead;
    if (!known || wholeViewDue(now))
        addWholeView(probe.heartbeat);
    else
        addRumours(probe.heartbeat);
    m_pending[probe.id] = {target, now + m_options.probeTimeout, false, lost};
    return probe;
}

bool Membership::wholeViewDue(SteadyTime now)
{
    if (m_differences < m_options.differencesBeforeSync || now < m_nextSync)
        return false;
    m_differences = 0;
    m_nextSync = now + m_options.syncInterval;
    return true;
}

void Membership::startIndirect(const std::string &target, SteadyTime now,
                               std::vector<Probe> &probes)
{
    const auto helpers = chooseAlive(m_options.indirectProbers, target);
    if (helpers.empty()) {
        suspect(target, now);
        return;
    }
    for (const std::string &helper : helpers) {
        Probe probe;
        probe.id = ++m_nextProbeId;
        probe.target = target;
        probe.via = helper;
        probe.heartbeat = heartbeat();
        m_pending[probe.id] = {target, now + m_options.indirectTimeout, true, false};
        probes.push_back(std::move(probe));
    }
}

bool Membership::isProbed(const std::string &target) const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [&](const auto &item) { return item.second.target == target; });
}

bool Membership::isProbedByOthers(const std::string &target) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &item) {
        return item.second.indirect && item.second.target == target;
    });
}

void Membership::forgetProbesOf(const std::string &target)
{
    std::erase_if(m_pending, [&](const auto &item) { return item.second.target == target; });
}

/// The last of the members asked to probe has not reached the target either.
void Membership::endUnanswered(const PendingProbe &probe, SteadyTime now)
{
    if (!isProbedByOthers(probe.target))
        suspect(probe.target, now);
}

void Membership::suspect(const std::string &target, SteadyTime now)
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end() || !found->second.worthProbing())
        return;
    Entry &entry = found->second;
    const bool isNews = entry.rumour.state == MemberState::Alive;
    setState(entry, MemberState::Suspect, now);
    entry.suspectedHere = true;
    ++m_viewVersion;
    if (isNews)
        announce(target);
}

} // namespace almondmill
