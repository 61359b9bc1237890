#pragma once

#include "almondmill/fleet/heartbeat.h"
#include "almondmill/fleet/member.h"
#include "almondmill/fleet/membershipoptions.h"
#include "almondmill/fleet/probe.h"
#include "almondmill/fleet/rumourbuffer.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace almondmill {

/// Membership of the fleet by the SWIM protocol. Each router probes its ring targets one at a time
/// and asks other members to probe a target that did not answer. A target that none of them reached
/// is suspected, and declared dead if it does not refute within the suspicion timeout. Changes are
/// disseminated as rumours piggybacked on heartbeats. A lost member is one declared dead, or a
/// candidate address that never answered. Does no I/O and reads no clock. Not thread-safe.
class Membership
{
public:
    /// `self.revision` should be higher than in earlier incarnations at the same address, for
    /// example the wall clock in milliseconds. If it is not, it is raised as soon as a rumour with
    /// a higher revision arrives.
    Membership(MemberRumour self, const MembershipOptions &options, std::uint64_t randomSeed,
               SteadyTime now);

    /// Alive and suspected members, this router included, sorted by address.
    std::vector<Member> view() const;

    /// Changes whenever the result of `view()` changes.
    std::uint64_t viewVersion() const { return m_viewVersion; }

    /// Members that this router probes: those at distances of 1, 2, 4, 8 ... on a ring ordered by
    /// the hash of the address.
    const std::vector<std::string> &ringTargets();

    const MemberRumour &self() const { return m_self; }

    /// Number of dead members and of candidate addresses that never answered.
    std::size_t lostCount() const { return m_deadCount + m_candidates.size(); }

    std::size_t suspectCount() const { return m_suspectCount; }

    /// This router's heartbeat with the next rumours, which are counted as sent.
    Heartbeat heartbeat();

    /// Advances all timers and returns the probes to be sent now. Call at least ten times a second.
    std::vector<Probe> tick(SteadyTime now);

    /// Applies a prober's heartbeat and returns the answer to it.
    Heartbeat answer(const Heartbeat &heartbeat, SteadyTime now);

    /// Reports the answer to a probe, from its target or from the member asked to probe it.
    /// `reached` says whether the target answered.
    void probeAnswered(std::uint64_t id, const Heartbeat &heartbeat, bool reached, SteadyTime now);

    /// Reports that a probe failed and will not be answered.
    void probeFailed(std::uint64_t id, SteadyTime now);

    /// Reports that a call other than a probe to this member failed. The member is probed with the
    /// next ticks, ahead of the ring order.
    void callFailed(const std::string &address);

    /// Adds addresses that may be routers, from the settings or the VM list. They are probed at the
    /// rate of lost members.
    void addCandidates(const std::vector<std::string> &addresses);

    /// Sets this router's own state, which every heartbeat carries.
    void setOwnState(std::uint64_t configVersion, std::uint32_t inFlight, bool leaving);

    /// Requests a push to `pushFanout` members with the next tick that allows one, for urgent
    /// rumours that are not about members.
    void requestPush() { m_pushRequested = true; }

private:
    struct Entry
    {
        /// A member that only other routers suspect stays a ring target, because it may still
        /// refute the suspicion.
        bool shouldProbe() const
        {
            return rumour.state == MemberState::Alive
                   || (rumour.state == MemberState::Suspect && !suspectedHere);
        }

        MemberRumour rumour;
        SteadyTime stateSince;      ///< When `rumour.state` last changed.
        bool suspectedHere = false; ///< Whether this router's own probes were not answered.
    };

    struct PendingProbe
    {
        std::string target;
        SteadyTime deadline;
        bool indirect = false;
        bool ignoreTimeout = false; ///< No answer changes nothing: the target is lost or suspected.
    };

    using Entries = std::map<std::string, Entry>;

    std::vector<std::string> selectRandomAlive(std::size_t count, const std::string &except);
    unsigned sendLimit() const;
    std::uint64_t viewHash();
    void refreshTargets();
    Heartbeat baseHeartbeat();
    void addRumours(Heartbeat &heartbeat);
    void addWholeView(Heartbeat &heartbeat) const;
    void addRefutableRumour(const Heartbeat &received, Heartbeat &answer) const;

    void adjustAfterPause(SteadyTime now);
    void expireProbes(SteadyTime now, std::vector<Probe> &probes);
    void expireSuspicions(SteadyTime now);
    void removeOldDead(SteadyTime now);
    void probeNextTarget(SteadyTime now, std::vector<Probe> &probes);
    void probeUrgentTargets(SteadyTime now, std::vector<Probe> &probes);
    void probeOwnSuspects(SteadyTime now, std::vector<Probe> &probes);
    void probeLostMembers(SteadyTime now, std::vector<Probe> &probes);
    void pushUrgentRumours(SteadyTime now, std::vector<Probe> &probes);

    Probe makeProbe(const std::string &target, SteadyTime now, bool ignoreTimeout);
    bool wholeViewDue(SteadyTime now);
    void startIndirectProbes(const std::string &target, SteadyTime now, std::vector<Probe> &probes);
    bool hasPendingProbe(const std::string &target) const;
    bool hasPendingIndirectProbe(const std::string &target) const;
    void cancelProbes(const std::string &target);
    void handleIndirectProbeFailure(const PendingProbe &probe, SteadyTime now);
    void suspect(const std::string &target, SteadyTime now);
    std::chrono::milliseconds lostProbeInterval() const;
    void refillLostProbeOrder();

    void applyHeartbeat(const Heartbeat &heartbeat, SteadyTime now);
    void compareViews(const Heartbeat &heartbeat);
    void applyRumour(const MemberRumour &rumour, SteadyTime now);
    void applyOwnRumour(const MemberRumour &rumour);
    void insert(const MemberRumour &rumour, SteadyTime now);
    void replace(Entry &entry, const MemberRumour &rumour, SteadyTime now);
    void setState(Entry &entry, MemberState state, SteadyTime now);
    void raiseOwnRevision(std::uint64_t above);
    void queueRumour(const std::string &address);

    MemberRumour m_self;
    MembershipOptions m_options;
    std::mt19937_64 m_random;
    std::uint32_t m_inFlight = 0;

    Entries m_entries;                  ///< All known members except this router, by address.
    std::set<std::string> m_candidates; ///< Addresses that have never answered.
    absl::flat_hash_map<std::uint64_t, std::string> m_addressByKey; ///< By hash of the address.
    RumourBuffer m_rumours;
    std::size_t m_deadCount = 0;
    std::size_t m_suspectCount = 0;
    std::uint64_t m_viewVersion = 1;
    std::uint64_t m_viewHash = 0;
    std::uint64_t m_viewHashVersion = 0; ///< View version for which `m_viewHash` was computed.

    std::map<std::uint64_t, PendingProbe> m_pending;
    std::uint64_t m_nextProbeId = 0;
    std::vector<std::string> m_targets;
    std::uint64_t m_targetsVersion = 0; ///< View version for which `m_targets` was computed.
    std::vector<std::string> m_lostProbeOrder;
    std::vector<std::string> m_probeOrder; ///< Remaining targets of this round, next one last.
    std::set<std::string> m_urgentTargets;

    SteadyTime m_lastTick;
    SteadyTime m_nextProbe;
    SteadyTime m_nextSuspectProbe;
    SteadyTime m_nextLostProbe;
    SteadyTime m_nextPush;
    SteadyTime m_nextPushCredit;
    SteadyTime m_nextSync;
    std::size_t m_pushCredit;
    unsigned m_viewMismatchScore = 0;
    bool m_pushRequested = false;
};

} // namespace almondmill
