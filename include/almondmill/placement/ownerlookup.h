#pragma once

#include "almondmill/placement/advicecache.h"
#include "almondmill/placement/lookupbudget.h"
#include "almondmill/placement/placementrequest.h"
#include "almondmill/placement/sharedprefixes.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace almondmill {

class Counter;
class MemberView;
class Metrics;
class PlacementPeers;

/// Asks the owners of prefixes, within a budget of bytes a second. Never needed: without an answer
/// the router decides alone.
class OwnerLookup
{
public:
    /// What is known of who decides for one prefix.
    struct Answer
    {
        bool ownedHere = false;
        std::optional<Home> home; ///< The home that the owner advises.
    };

    explicit OwnerLookup(Metrics &metrics);

    std::size_t stateBytes() const { return m_advice.stateBytes() + m_silentPeers.stateBytes(); }

    /// Finds out who decides and what the owner advises. Blocks for a few milliseconds at most;
    /// an owner that gave no answer is not asked again for a second. Members and peers may be null.
    Answer find(const PlacementRequest &request, const SharedPrefixes::Level &level,
                const std::set<std::string> &excluded, const MemberView *members,
                PlacementPeers *peers, SteadyTime now);

private:
    std::optional<Home> ask(const std::string &owner, const PlacementRequest &request,
                            const SharedPrefixes::Level &level,
                            const std::set<std::string> &excluded, PlacementPeers &peers,
                            SteadyTime now);

    AdviceCache m_advice;
    AdviceCache m_silentPeers;
    LookupBudget m_budget;
    Counter &m_asked;
    Counter &m_unanswered;
    Counter &m_overBudget;
    Counter &m_bytes;
};

} // namespace almondmill
