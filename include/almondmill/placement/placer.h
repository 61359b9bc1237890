#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/fleet/placementowner.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/ownerlookup.h"
#include "almondmill/placement/placementpolicy.h"
#include "almondmill/placement/placementrequest.h"
#include "almondmill/placement/sharedprefixes.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondmill {

struct Node;

/// Chooses among the endpoints' current states with the policy that the rules name. Creates one
/// instance of each registered policy at construction, so that each request is decided by the rules
/// of its own configuration and a change of policy needs no lock.
class Placer : public PlacementOwner
{
public:
    explicit Placer(const Node &node, Metrics &metrics);
    ~Placer() override;

    /// Bytes of memory held for decisions, by all policies.
    std::size_t stateBytes() const;

    /// Chooses the endpoint for the request; null when there is none. Endpoints that are named in
    /// `excluded` or are leaving are never chosen; ejected or unreachable ones only when no other
    /// is left. May query the owner of the prefix, and waits for its answer for 5 ms at most.
    EndpointSet::StatePointer choose(const PlacementRequest &request,
                                     const EndpointSet::States &states,
                                     const std::set<std::string> &excluded, SteadyTime now);

    /// Decides on behalf of another router, as the owner of the prefix.
    PlacementAdvice advise(const PlacementQuery &query, SteadyTime now) override;

    void observe(const PlacementRequest &request, const PlacementOutcome &outcome, SteadyTime now);

private:
    using Policies = std::map<std::string, std::unique_ptr<PlacementPolicy>>;

    PlacementPolicy &policyFor(const PlacementRequest &request) const;

    const Node &m_node;
    Policies m_policies;
    PlacementPolicy &m_fallbackPolicy; ///< Decides without an owner's advice.
    SharedPrefixes m_shared;
    OwnerLookup m_lookup;
};

} // namespace almondmill
