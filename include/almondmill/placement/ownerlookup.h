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

/// Queries the routers that own prefixes, within a budget of bytes per second. Lookups are
/// optional: without an answer the router decides alone.
class OwnerLookup
{
public:
    /// Who decides for one prefix, and what the owner advises.
    struct Answer
    {
        bool ownedHere = false;
        std::optional<CachedLocation> advised; ///< The location that the owner advises.
    };

    explicit OwnerLookup(Metrics &metrics);

    std::size_t stateBytes() const
    {
        return m_advice.stateBytes() + m_unresponsivePeers.stateBytes();
    }

    /// Finds the owner of the prefix and its advice. Blocks for 5 ms at most; an owner that did not
    /// answer is not queried for the next second. `members` and `peers` may be null.
    Answer find(const PlacementRequest &request, const SharedPrefixes::Level &level,
                const std::set<std::string> &excluded, const MemberView *members,
                PlacementPeers *peers, SteadyTime now);

private:
    std::optional<CachedLocation> queryOwner(const std::string &owner,
                                             const PlacementRequest &request,
                                             const SharedPrefixes::Level &level,
                                             const std::set<std::string> &excluded,
                                             PlacementPeers &peers, SteadyTime now);

    AdviceCache m_advice;
    AdviceCache m_unresponsivePeers;
    LookupBudget m_budget;
    Counter &m_asked;
    Counter &m_unanswered;
    Counter &m_overBudget;
    Counter &m_bytes;
};

} // namespace almondmill
