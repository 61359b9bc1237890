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

/// Who is in the fleet, by SWIM: each router probes one member at a time in the order of its ring
/// targets, asks others to probe one that did not answer, suspects it when none reached it, and
/// holds it dead when it did not refute in time. What changes goes out with heartbeats. Does no I/O
/// and reads no clock. Not safe to call from several threads.
class Membership
{
public:
    /// `self.revision` must be higher than in earlier lives of the same address where that can be
    /// known, such as the wall clock in milliseconds; it corrects itself where it is not.
    Membership(MemberRumour self, const MembershipOptions &options, std::uint64_t randomSeed,
               SteadyTime now);

    /// Members held alive or suspected, this router included, in the order of their addresses.
    std::vector<Member> view() const;

    /// Changes whenever `view()` would.
    std::uint64_t viewVersion() const { return m_viewVersion; }

    /// Members that this router probes in turn.
    const std::vector<std::string> &ringTargets();

    const MemberRumour &self() const { return m_self; }

    /// Members held dead and addresses that never answered.
    std::size_t lostCount() const { return m_deadCount + m_candidates.size(); }

    std::size_t suspectCount() const { return m_suspectCount; }

    /// This router's heartbeat with the rumours that are next, counted as sent.
    Heartbeat heartbeat();

    /// What must be sent now. Call at least ten times a second.
    std::vector<Probe> tick(SteadyTime now);

    /// Takes a prober's heartbeat in and returns the answer.
    Heartbeat answer(const Heartbeat &heartbeat, SteadyTime now);

    /// A probe was answered, by its target or by the member asked to probe.
    void probeAnswered(std::uint64_t id, const Heartbeat &heartbeat, bool reached, SteadyTime now);

    /// A probe will not be answered.
    void probeFailed(std::uint64_t id, SteadyTime now);

    /// A call of another kind to this member gave no answer: it is probed out of turn.
    void callFailed(const std::string &address);

    /// Addresses that may be routers, from the settings or the VM list: tried now and then.
    void addCandidates(const std::vector<std::string> &addresses);

    /// This router's own state, told with each heartbeat.
    void setOwnState(std::uint64_t configVersion, std::uint32_t inFlight, bool leaving);

    /// Sends a push to a few members with the next tick: urgent rumours of another kind wait.
    void requestPush() { m_pushRequested = true; }

private:
    struct Entry
    {
        /// A member that only others suspect stays in the ring: it may yet refute.
        bool worthProbing() const
        {
            return rumour.state == MemberState::Alive
                   || (rumour.state == MemberState::Suspect && !suspectedHere);
        }

        MemberRumour rumour;
        SteadyTime since;           ///< When it became suspect or dead.
        bool suspectedHere = false; ///< This router's own probes got no answer.
    };

    struct PendingProbe
    {
        std::string target;
        SteadyTime deadline;
        bool indirect = false;
        bool lost = false; ///< Sent to one held dead or never heard: silence says nothing new.
    };

    using Entries = std::map<std::string, Entry>;

    std::vector<std::string> chooseAlive(std::size_t count, const std::string &except);
    unsigned sendLimit() const;
    std::uint64_t viewHash();
    void refreshTargets();
    Heartbeat baseHeartbeat();
    void addRumours(Heartbeat &heartbeat);
    void addWholeView(Heartbeat &heartbeat) const;
    void tellReceiver(const Heartbeat &heard, Heartbeat &answer) const;

    void shiftAfterFreeze(SteadyTime now);
    void expireProbes(SteadyTime now, std::vector<Probe> &probes);
    void expireSuspicions(SteadyTime now);
    void forgetOldDead(SteadyTime now);
    void probeNextTarget(SteadyTime now, std::vector<Probe> &probes);
    void probeUrgentTargets(SteadyTime now, std::vector<Probe> &probes);
    void probeOwnSuspects(SteadyTime now, std::vector<Probe> &probes);
    void probeLost(SteadyTime now, std::vector<Probe> &probes);
    void pushUrgentRumours(SteadyTime now, std::vector<Probe> &probes);

    Probe makeProbe(const std::string &target, SteadyTime now, bool lost);
    bool wholeViewDue(SteadyTime now);
    void startIndirect(const std::string &target, SteadyTime now, std::vector<Probe> &probes);
    bool isProbed(const std::string &target) const;
    bool isProbedByOthers(const std::string &target) const;
    void forgetProbesOf(const std::string &target);
    void endUnanswered(const PendingProbe &probe, SteadyTime now);
    void suspect(const std::string &target, SteadyTime now);
    std::chrono::milliseconds lostInterval() const;
    void refillLostOrder();

    void takeIn(const Heartbeat &heartbeat, SteadyTime now);
    void compareViews(const Heartbeat &heartbeat);
    void apply(const MemberRumour &rumour, SteadyTime now);
    void applyToSelf(const MemberRumour &rumour);
    void insert(const MemberRumour &rumour, SteadyTime now);
    void replace(Entry &entry, const MemberRumour &rumour, SteadyTime now);
    void setState(Entry &entry, MemberState state, SteadyTime now);
    void raiseOwnRevision(std::uint64_t above);
    void announce(const std::string &address);

    MemberRumour m_self;
    MembershipOptions m_options;
    std::mt19937_64 m_random;
    std::uint32_t m_inFlight = 0;

    Entries m_entries; ///< All but this router.
    std::set<std::string> m_candidates;
    absl::flat_hash_map<std::uint64_t, std::string> m_addressByKey;
    RumourBuffer m_rumours;
    std::size_t m_deadCount = 0;
    std::size_t m_suspectCount = 0;
    std::uint64_t m_viewVersion = 1;
    std::uint64_t m_viewHash = 0;
    std::uint64_t m_hashedVersion = 0; ///< View version that `m_viewHash` is of.

    std::map<std::uint64_t, PendingProbe> m_pending;
    std::uint64_t m_nextProbeId = 0;
    std::vector<std::string> m_targets;
    std::uint64_t m_targetsVersion = 0; ///< View version that `m_targets` is of.
    std::vector<std::string> m_lostOrder;
    std::vector<std::string> m_order; ///< Targets still to probe in this round, next one last.
    std::set<std::string> m_urgentTargets;

    SteadyTime m_lastTick;
    SteadyTime m_nextProbe;
    SteadyTime m_nextSuspectProbe;
    SteadyTime m_nextLost;
    SteadyTime m_nextPush;
    SteadyTime m_nextCredit;
    SteadyTime m_nextSync;
    std::size_t m_pushCredit;
    unsigned m_differences = 0;
    bool m_pushRequested = false;
};

} // namespace almondmill
