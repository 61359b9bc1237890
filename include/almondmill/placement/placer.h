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

/// Chooses among the endpoints' present states with the policy that the rules name. Holds one of
/// each registered policy from the start, so that each request is decided by the rules of its own
/// configuration and a change of policy takes no lock.
class Placer : public PlacementOwner
{
public:
    explicit Placer(const Node &node, Metrics &metrics);
    ~Placer() override;

    /// Bytes of memory held for decisions, by all policies.
    std::size_t stateBytes() const;

    /// The endpoint for the request, or null. Those named in `excluded` are passed over, those
    /// leaving, ejected or with other weights too. May ask the owner of the prefix and wait for a
    /// few milliseconds.
    EndpointSet::StatePointer choose(const PlacementRequest &request,
                                     const EndpointSet::States &states,
                                     const std::set<std::string> &excluded, SteadyTime now);

    /// Decides for another router as the owner of the prefix.
    PlacementAdvice advise(const PlacementQuery &query, SteadyTime now) override;

    void observe(const PlacementRequest &request, const PlacementOutcome &outcome, SteadyTime now);

private:
    using Policies = std::map<std::string, std::unique_ptr<PlacementPolicy>>;

    PlacementPolicy &policyFor(const PlacementRequest &request) const;

    const Node &m_node;
    Policies m_policies;
    PlacementPolicy &m_alone; ///< Decides where no owner does.
    SharedPrefixes m_shared;
    OwnerLookup m_lookup;
};

} // namespace almondmill
