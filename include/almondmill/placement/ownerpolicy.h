#pragma once

#include "almondmill/placement/cachedlocationtable.h"
#include "almondmill/placement/placementpolicy.h"

namespace almondmill {

/// Decides for the prefixes that this router owns. Records the endpoints to which it sent them, and
/// weighs each endpoint's expected queue against the blocks that the endpoint would have to
/// recompute. The outcomes reported with responses correct the records.
class OwnerPolicy : public PlacementPolicy
{
public:
    OwnerPolicy();

    bool usesPrefixOwners() const override { return true; }
    std::size_t stateBytes() const override { return m_locations.stateBytes(); }

    /// Cost: linear in the candidates, and in the keys up to a fixed number.
    std::optional<PlacementChoice> choose(const PolicyInput &input,
                                          std::span<const Candidate> candidates,
                                          SteadyTime now) override;

    void observe(const PolicyInput &input, const PlacementOutcome &outcome,
                 SteadyTime now) override;

private:
    void recordAll(const PolicyInput &input, const CachedLocation &location, SteadyTime now);

    CachedLocationTable m_locations;
};

} // namespace almondmill
