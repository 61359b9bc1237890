// Probe scheduling and failure detection of Membership.

#include "almondmill/fleet/membership.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr std::size_t UrgentProbesPerTick = 2;
constexpr std::size_t SuspectProbesPerTick = 4;
} // namespace

std::vector<Probe> Membership::tick(SteadyTime now)
{
    std::vector<Probe> probes;
    adjustAfterPause(now);
    expireProbes(now, probes);
    expireSuspicions(now);
    removeOldDead(now);
    ringTargets();
    probeUrgentTargets(now, probes);
    probeNextTarget(now, probes);
    probeOwnSuspects(now, probes);
    probeLostMembers(now, probes);
    pushUrgentRumours(now, probes);
    return probes;
}

void Membership::probeAnswered(std::uint64_t id, const Heartbeat &heartbeat, bool reached,
                               SteadyTime now)
{
    applyHeartbeat(heartbeat, now);
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const std::string target = found->second.target;
    if (reached)
        cancelProbes(target);
    else
        probeFailed(id, now);
}

void Membership::probeFailed(std::uint64_t id, SteadyTime now)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    // After a direct probe that failed before its timeout, the next tick sends the indirect
    // probes.
    if (!found->second.indirect) {
        found->second.deadline = std::min(found->second.deadline, now);
        return;
    }
    const PendingProbe probe = found->second;
    m_pending.erase(found);
    handleIndirectProbeFailure(probe, now);
}

void Membership::callFailed(const std::string &address)
{
    const auto found = m_entries.find(address);
    if (found != m_entries.end() && found->second.rumour.state == MemberState::Alive)
        m_urgentTargets.insert(address);
}

/// Cancels open probes and extends suspicions by the time for which this process was paused,
/// because it could not receive answers or refutations while it was paused.
void Membership::adjustAfterPause(SteadyTime now)
{
    const auto gap = now - m_lastTick;
    m_lastTick = now;
    if (gap <= m_options.pauseThreshold)
        return;
    m_pending.clear();
    for (auto &[address, entry] : m_entries) {
        if (entry.rumour.state == MemberState::Suspect)
            entry.stateSince = std::min(entry.stateSince + gap, now);
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
        if (probe.ignoreTimeout)
            continue;
        if (probe.indirect)
            handleIndirectProbeFailure(probe, now);
        else if (!hasPendingIndirectProbe(probe.target))
            startIndirectProbes(probe.target, now, probes);
    }
}

void Membership::expireSuspicions(SteadyTime now)
{
    if (m_suspectCount == 0)
        return;
    for (auto &[address, entry] : m_entries) {
        if (entry.rumour.state != MemberState::Suspect
            || now - entry.stateSince < m_options.suspicionTimeout)
            continue;
        setState(entry, MemberState::Dead, now);
        queueRumour(address);
    }
}

void Membership::removeOldDead(SteadyTime now)
{
    if (m_deadCount == 0)
        return;
    std::erase_if(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        const bool old = now - entry.stateSince >= m_options.deadRetention
                         || m_deadCount > m_options.maxLostCount;
        if (entry.rumour.state != MemberState::Dead || !old)
            return false;
        m_addressByKey.erase(hash64(item.first));
        --m_deadCount;
        return true;
    });
}

void Membership::probeUrgentTargets(SteadyTime now, std::vector<Probe> &probes)
{
    for (std::size_t sent = 0; sent < UrgentProbesPerTick && !m_urgentTargets.empty();) {
        const std::string target = *m_urgentTargets.begin();
        m_urgentTargets.erase(m_urgentTargets.begin());
        const auto found = m_entries.find(target);
        if (found == m_entries.end() || !found->second.shouldProbe() || hasPendingProbe(target))
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
    if (m_probeOrder.empty()) {
        m_probeOrder = m_targets;
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    const std::string target = m_probeOrder.back();
    m_probeOrder.pop_back();
    const bool current = std::find(m_targets.begin(), m_targets.end(), target) != m_targets.end();
    if (current && !hasPendingProbe(target))
        probes.push_back(makeProbe(target, now, false));
}

/// Sends the suspicion to the suspected members, so that they can refute it.
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
        if (++sent == SuspectProbesPerTick)
            return;
    }
}

/// Probes lost members at a low rate, so that the two sides of a partition find each other again.
void Membership::probeLostMembers(SteadyTime now, std::vector<Probe> &probes)
{
    if (now < m_nextLostProbe || lostCount() == 0)
        return;
    m_nextLostProbe = now + lostProbeInterval();
    const bool alone = m_entries.size() == m_deadCount;
    const std::size_t count = alone ? m_options.joinProbes : 1;
    for (std::size_t i = 0; i < std::min(count, lostCount()); ++i) {
        if (m_lostProbeOrder.empty())
            refillLostProbeOrder();
        const std::string address = m_lostProbeOrder.back();
        m_lostProbeOrder.pop_back();
        const auto found = m_entries.find(address);
        const bool lost =
                found == m_entries.end() || found->second.rumour.state == MemberState::Dead;
        if (lost && !hasPendingProbe(address))
            probes.push_back(makeProbe(address, now, true));
    }
}

std::chrono::milliseconds Membership::lostProbeInterval() const
{
    if (m_entries.size() == m_deadCount)
        return m_options.joinInterval;
    return std::clamp(m_options.lostProbeCycle / static_cast<int>(lostCount()),
                      m_options.minLostProbeInterval, m_options.maxLostProbeInterval);
}

void Membership::refillLostProbeOrder()
{
    m_lostProbeOrder.assign(m_candidates.begin(), m_candidates.end());
    for (const auto &[address, entry] : m_entries) {
        if (entry.rumour.state == MemberState::Dead)
            m_lostProbeOrder.push_back(address);
    }
    std::shuffle(m_lostProbeOrder.begin(), m_lostProbeOrder.end(), m_random);
}

void Membership::pushUrgentRumours(SteadyTime now, std::vector<Probe> &probes)
{
    while (m_nextPushCredit <= now) {
        m_nextPushCredit += m_options.pushCreditInterval;
        m_pushCredit = std::min(m_pushCredit + 1, m_options.maxPushCredit);
    }
    const bool urgent = m_pushRequested || m_rumours.anySentFewerThan(m_options.urgentSends);
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

Probe Membership::makeProbe(const std::string &target, SteadyTime now, bool ignoreTimeout)
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
    m_pending[probe.id] = {target, now + m_options.probeTimeout, false, ignoreTimeout};
    return probe;
}

bool Membership::wholeViewDue(SteadyTime now)
{
    if (m_viewMismatchScore < m_options.viewMismatchThreshold || now < m_nextSync)
        return false;
    m_viewMismatchScore = 0;
    m_nextSync = now + m_options.syncInterval;
    return true;
}

void Membership::startIndirectProbes(const std::string &target, SteadyTime now,
                                     std::vector<Probe> &probes)
{
    const auto helpers = selectRandomAlive(m_options.indirectProbers, target);
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

bool Membership::hasPendingProbe(const std::string &target) const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
                       [&](const auto &item) { return item.second.target == target; });
}

bool Membership::hasPendingIndirectProbe(const std::string &target) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &item) {
        return item.second.indirect && item.second.target == target;
    });
}

void Membership::cancelProbes(const std::string &target)
{
    std::erase_if(m_pending, [&](const auto &item) { return item.second.target == target; });
}

/// Suspects the target once no other indirect probe of it is pending.
void Membership::handleIndirectProbeFailure(const PendingProbe &probe, SteadyTime now)
{
    if (!hasPendingIndirectProbe(probe.target))
        suspect(probe.target, now);
}

void Membership::suspect(const std::string &target, SteadyTime now)
{
    const auto found = m_entries.find(target);
    if (found == m_entries.end() || !found->second.shouldProbe())
        return;
    Entry &entry = found->second;
    const bool wasAlive = entry.rumour.state == MemberState::Alive;
    setState(entry, MemberState::Suspect, now);
    entry.suspectedHere = true;
    ++m_viewVersion;
    if (wasAlive)
        queueRumour(target);
}

} // namespace almondmill
