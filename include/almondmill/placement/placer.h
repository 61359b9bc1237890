#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/placementpolicy.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace almondmill {

/// Chooses among the endpoints' present states with the policy that the rules name.
class Placer
{
public:
    explicit Placer(std::unique_ptr<PlacementPolicy> policy);

    /// The endpoint for the request, or null. Those named in `excluded` are passed over, those
    /// leaving or ejected too.
    EndpointSet::StatePointer choose(const PlacementRequest &request,
                                     const EndpointSet::States &states,
                                     const std::set<std::string> &excluded, SteadyTime now);

    void observe(const PlacementRequest &request, const PlacementOutcome &outcome, SteadyTime now);

private:
    std::unique_ptr<PlacementPolicy> m_policy;
};

} // namespace almondmill
