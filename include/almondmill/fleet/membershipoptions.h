#pragma once

#include <chrono>
#include <cstddef>

namespace almondmill {

/// Rates and limits of the membership protocol; the same at every router.
struct MembershipOptions
{
    std::chrono::milliseconds probeInterval{1000}; ///< One member is probed in each.
    std::chrono::milliseconds probeTimeout{500};   ///< Then others are asked to probe.
    std::chrono::milliseconds indirectTimeout{600};
    std::chrono::milliseconds suspicionTime{3000}; ///< For the member to refute.
    std::chrono::milliseconds disputeTime{1500};   ///< Least suspicion before a death is believed.
    std::chrono::milliseconds joinInterval{500};   ///< Between tries while no member is known.
    std::chrono::milliseconds lostCycle{30000};    ///< All members held dead are tried in it.
    std::chrono::milliseconds leastLostInterval{1000};
    std::chrono::milliseconds mostLostInterval{10000};
    std::chrono::milliseconds lostKept{std::chrono::hours(3)};
    std::chrono::milliseconds syncInterval{10000}; ///< Least time between whole-view exchanges.
    std::chrono::milliseconds pushInterval{200};   ///< Between pushes of urgent rumours.
    std::chrono::milliseconds pushCredit{1000};    ///< One push message is earned in each.
    std::chrono::milliseconds frozenAfter{2000};   ///< A longer gap means that we were paused.
    std::size_t indirectProbers = 3;
    std::size_t joinProbes = 3;       ///< Seeds tried at the same time.
    std::size_t rumoursAMessage = 64; ///< Bound of a message that is not a whole view.
    std::size_t pushFanout = 3;       ///< Members that urgent rumours go to at once.
    std::size_t mostPushCredit = 60;  ///< Push messages that may go in a burst.
    std::size_t lostLimit = 512;      ///< Members held dead, and addresses never heard.
    unsigned urgentSends = 6;         ///< A rumour sent fewer times is urgent.
    unsigned sendsPerDoubling = 3;    ///< A rumour is sent this often for each doubling of members.
    unsigned differencesBeforeSync = 16; ///< Two for a heartbeat with another view, less one else.
};

} // namespace almondmill
