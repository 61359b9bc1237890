#pragma once

#include <chrono>
#include <cstddef>

namespace almondmill {

/// Rates and limits of the membership protocol. They must be the same at every router.
struct MembershipOptions
{
    /// One ring target is probed per interval.
    std::chrono::milliseconds probeInterval{1000};
    /// Without an answer in this time, other members are asked to probe the target.
    std::chrono::milliseconds probeTimeout{500};
    std::chrono::milliseconds indirectTimeout{600};
    /// Time that a suspected member has to refute before it is declared dead.
    std::chrono::milliseconds suspicionTimeout{3000};
    /// Least time that a member is suspected here before another router's report of its death is
    /// accepted.
    std::chrono::milliseconds minSuspicionTime{1500};
    /// Between probes of lost members while this router knows no live member.
    std::chrono::milliseconds joinInterval{500};
    /// Time in which every lost member is probed once, within the two bounds of the interval.
    std::chrono::milliseconds lostProbeCycle{30000};
    std::chrono::milliseconds minLostProbeInterval{1000};
    std::chrono::milliseconds maxLostProbeInterval{10000};
    /// How long a dead member is remembered and probed.
    std::chrono::milliseconds deadRetention{std::chrono::hours(3)};
    /// Least time between two exchanges of whole views started by this router.
    std::chrono::milliseconds syncInterval{10000};
    /// Between pushes of urgent rumours.
    std::chrono::milliseconds pushInterval{200};
    /// One credit, which allows one push message, is earned per interval.
    std::chrono::milliseconds pushCreditInterval{1000};
    /// A longer gap between two ticks means that this process was paused.
    std::chrono::milliseconds pauseThreshold{2000};
    /// Members asked to probe a target that did not answer.
    std::size_t indirectProbers = 3;
    /// Lost members probed at the same time while no live member is known.
    std::size_t joinProbes = 3;
    /// Does not apply to whole views.
    std::size_t maxRumoursPerMessage = 64;
    /// Members that a push is sent to.
    std::size_t pushFanout = 3;
    /// Largest burst of push messages.
    std::size_t maxPushCredit = 60;
    /// Bound of dead members and candidate addresses together.
    std::size_t maxLostCount = 512;
    /// A rumour that has been sent fewer times is urgent.
    unsigned urgentSends = 6;
    /// Sends of a rumour per doubling of the number of members.
    unsigned sendsPerDoubling = 3;
    /// Mismatch score at which whole views are exchanged. A heartbeat with another view hash adds 2
    /// to the score; one with the same hash subtracts 1.
    unsigned viewMismatchThreshold = 16;
};

} // namespace almondmill
