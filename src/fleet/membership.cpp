#include "almondmill/fleet/membership.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <bit>

namespace almondmill {

namespace {

Member toMember(const MemberRumour &rumour)
{
    return {rumour.address, rumour.dataCentre, rumour.incarnation, rumour.configVersion,
            rumour.leaving};
}

std::uint64_t hashOf(const MemberRumour &rumour)
{
    return mixHash(hash64(rumour.address), rumour.incarnation + (rumour.leaving ? 1 : 0));
}

MemberRumour senderRumour(const Heartbeat &heartbeat)
{
    MemberRumour rumour;
    rumour.address = heartbeat.sender;
    rumour.dataCentre = heartbeat.dataCentre;
    rumour.incarnation = heartbeat.incarnation;
    rumour.revision = heartbeat.revision;
    rumour.configVersion = heartbeat.configVersion;
    rumour.leaving = heartbeat.draining;
    return rumour;
}

} // namespace

Membership::Membership(MemberRumour self, const MembershipOptions &options,
                       std::uint64_t randomSeed, SteadyTime now)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(randomSeed)
    , m_lastTick(now)
    , m_nextProbe(now)
    , m_nextSuspectProbe(now)
    , m_nextLostProbe(now)
    , m_nextPush(now)
    , m_nextPushCredit(now)
    , m_nextSync(now)
    , m_pushCredit(options.maxPushCredit)
{
    queueRumour(m_self.address);
}

std::vector<Member> Membership::view() const
{
    std::vector<Member> members;
    members.reserve(m_entries.size() + 1);
    members.push_back(toMember(m_self));
    for (const auto &[address, entry] : m_entries) {
        if (entry.rumour.state != MemberState::Dead)
            members.push_back(toMember(entry.rumour));
    }
    std::sort(members.begin(), members.end(),
              [](const Member &a, const Member &b) { return a.address < b.address; });
    return members;
}

const std::vector<std::string> &Membership::ringTargets()
{
    if (m_targetsVersion != m_viewVersion)
        refreshTargets();
    return m_targets;
}

Heartbeat Membership::heartbeat()
{
    Heartbeat heartbeat = baseHeartbeat();
    addRumours(heartbeat);
    return heartbeat;
}

Heartbeat Membership::answer(const Heartbeat &heartbeat, SteadyTime now)
{
    applyHeartbeat(heartbeat, now);
    Heartbeat answer = baseHeartbeat();
    addRefutableRumour(heartbeat, answer);
    if (heartbeat.wholeView)
        addWholeView(answer);
    else
        addRumours(answer);
    return answer;
}

void Membership::addCandidates(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        if (lostCount() >= m_options.maxLostCount)
            return;
        if (address != m_self.address && m_entries.count(address) == 0)
            m_candidates.insert(address);
    }
}

void Membership::setOwnState(std::uint64_t configVersion, std::uint32_t inFlight, bool leaving)
{
    m_inFlight = inFlight;
    if (m_self.configVersion != configVersion) {
        m_self.configVersion = configVersion;
        ++m_viewVersion;
    }
    if (m_self.leaving == leaving)
        return;
    m_self.leaving = leaving;
    raiseOwnRevision(m_self.revision);
}

std::vector<std::string> Membership::selectRandomAlive(std::size_t count, const std::string &except)
{
    std::vector<std::string> alive;
    for (const auto &[address, entry] : m_entries) {
        if (entry.shouldProbe() && address != except)
            alive.push_back(address);
    }
    std::shuffle(alive.begin(), alive.end(), m_random);
    alive.resize(std::min(count, alive.size()));
    return alive;
}

unsigned Membership::sendLimit() const
{
    const auto doublings = static_cast<unsigned>(std::bit_width(m_entries.size() + 1));
    return std::max(m_options.urgentSends, m_options.sendsPerDoubling * doublings);
}

std::uint64_t Membership::viewHash()
{
    if (m_viewHashVersion == m_viewVersion)
        return m_viewHash;
    m_viewHash = hashOf(m_self);
    for (const auto &[address, entry] : m_entries) {
        if (entry.rumour.state != MemberState::Dead)
            m_viewHash ^= hashOf(entry.rumour);
    }
    m_viewHashVersion = m_viewVersion;
    return m_viewHash;
}

void Membership::refreshTargets()
{
    std::vector<std::string> ring;
    for (const auto &[address, entry] : m_entries) {
        if (entry.shouldProbe())
            ring.push_back(address);
    }
    const std::uint64_t origin = hash64(m_self.address);
    std::sort(ring.begin(), ring.end(), [origin](const std::string &a, const std::string &b) {
        return hash64(a) - origin < hash64(b) - origin;
    });
    const std::vector<std::string> before = std::move(m_targets);
    m_targets.clear();
    for (std::size_t distance = 1; distance <= ring.size(); distance *= 2)
        m_targets.push_back(ring[distance - 1]);
    for (const std::string &target : m_targets) {
        if (std::find(before.begin(), before.end(), target) == before.end())
            m_urgentTargets.insert(target);
    }
    m_targetsVersion = m_viewVersion;
}

Heartbeat Membership::baseHeartbeat()
{
    Heartbeat heartbeat;
    heartbeat.sender = m_self.address;
    heartbeat.dataCentre = m_self.dataCentre;
    heartbeat.incarnation = m_self.incarnation;
    heartbeat.revision = m_self.revision;
    heartbeat.configVersion = m_self.configVersion;
    heartbeat.inFlight = m_inFlight;
    heartbeat.draining = m_self.leaving;
    heartbeat.viewHash = viewHash();
    return heartbeat;
}

void Membership::addRumours(Heartbeat &heartbeat)
{
    for (const std::uint64_t key : m_rumours.take(m_options.maxRumoursPerMessage, sendLimit())) {
        const auto address = m_addressByKey.find(key);
        if (address == m_addressByKey.end() || address->second == m_self.address)
            continue;
        const auto found = m_entries.find(address->second);
        if (found != m_entries.end())
            heartbeat.members.push_back(found->second.rumour);
    }
}

void Membership::addWholeView(Heartbeat &heartbeat) const
{
    heartbeat.wholeView = true;
    for (const auto &[address, entry] : m_entries)
        heartbeat.members.push_back(entry.rumour);
}

/// Adds the rumour about the receiver of the answer if it reports the receiver as suspect or dead
/// or with another incarnation, so that the receiver can refute it.
void Membership::addRefutableRumour(const Heartbeat &received, Heartbeat &answer) const
{
    const auto found = m_entries.find(received.sender);
    if (found == m_entries.end())
        return;
    const MemberRumour &known = found->second.rumour;
    if (known.state != MemberState::Alive || known.incarnation != received.incarnation)
        answer.members.push_back(known);
}

void Membership::applyHeartbeat(const Heartbeat &heartbeat, SteadyTime now)
{
    applyRumour(senderRumour(heartbeat), now);
    for (const MemberRumour &rumour : heartbeat.members)
        applyRumour(rumour, now);
    compareViews(heartbeat);
}

/// Scores a mismatch higher than a match: a few members that share the same wrong view agree with
/// each other, and the score must still reach the threshold.
void Membership::compareViews(const Heartbeat &heartbeat)
{
    if (heartbeat.viewHash != viewHash())
        m_viewMismatchScore += 2;
    else if (m_viewMismatchScore > 0)
        --m_viewMismatchScore;
}

void Membership::applyRumour(const MemberRumour &rumour, SteadyTime now)
{
    if (rumour.address == m_self.address) {
        applyOwnRumour(rumour);
        return;
    }
    const auto found = m_entries.find(rumour.address);
    if (found == m_entries.end()) {
        if (rumour.state != MemberState::Dead)
            insert(rumour, now);
        return;
    }
    Entry &entry = found->second;
    const MemberRumour &known = entry.rumour;
    if (rumour.incarnation == known.incarnation && rumour.configVersion > known.configVersion) {
        entry.rumour.configVersion = rumour.configVersion;
        ++m_viewVersion;
    }
    const bool newer = rumour.revision > known.revision
                       || (rumour.revision == known.revision && rumour.state > known.state);
    if (newer)
        replace(entry, rumour, now);
}

void Membership::applyOwnRumour(const MemberRumour &rumour)
{
    const bool otherIncarnation = rumour.incarnation != m_self.incarnation;
    const bool refutable = rumour.state != MemberState::Alive || otherIncarnation;
    if (refutable && rumour.revision >= m_self.revision)
        raiseOwnRevision(rumour.revision);
}

void Membership::insert(const MemberRumour &rumour, SteadyTime now)
{
    m_candidates.erase(rumour.address);
    Entry &entry = m_entries[rumour.address];
    entry.rumour = rumour;
    entry.stateSince = now;
    if (rumour.state == MemberState::Suspect)
        ++m_suspectCount;
    ++m_viewVersion;
    queueRumour(rumour.address);
}

/// When others report a member dead that is alive in this view, the member only becomes suspect at
/// first, so that it can refute the report. After a network partition, each side has declared the
/// members of the other side dead.
void Membership::replace(Entry &entry, const MemberRumour &rumour, SteadyTime now)
{
    MemberState state = rumour.state;
    const MemberState previous = entry.rumour.state;
    const bool disputed = previous == MemberState::Alive
                          || (previous == MemberState::Suspect
                              && now - entry.stateSince < m_options.minSuspicionTime);
    if (state == MemberState::Dead && disputed)
        state = MemberState::Suspect;
    const bool changed = state != previous || rumour.revision != entry.rumour.revision;
    entry.rumour = rumour;
    entry.rumour.state = previous;
    setState(entry, state, now);
    if (!changed)
        return;
    ++m_viewVersion;
    queueRumour(rumour.address);
}

void Membership::setState(Entry &entry, MemberState state, SteadyTime now)
{
    const MemberState before = entry.rumour.state;
    entry.rumour.state = state;
    if (state == before)
        return;
    entry.stateSince = now;
    entry.suspectedHere = false;
    m_suspectCount -= before == MemberState::Suspect ? 1 : 0;
    m_suspectCount += state == MemberState::Suspect ? 1 : 0;
    m_deadCount -= before == MemberState::Dead ? 1 : 0;
    m_deadCount += state == MemberState::Dead ? 1 : 0;
    ++m_viewVersion;
}

void Membership::raiseOwnRevision(std::uint64_t above)
{
    m_self.revision = above + 1;
    ++m_viewVersion;
    queueRumour(m_self.address);
}

void Membership::queueRumour(const std::string &address)
{
    const std::uint64_t key = hash64(address);
    m_addressByKey[key] = address;
    m_rumours.add(key);
}

} // namespace almondmill
