#pragma once

#include "almondmill/placement/hometable.h"
#include "almondmill/placement/placementpolicy.h"

namespace almondmill {

/// Decides for the prefixes that this router owns: remembers where it sent them, and weighs each
/// endpoint's expected queue against the blocks that it would have to recompute. What answers tell
/// corrects the memory.
class OwnerPolicy : public PlacementPolicy
{
public:
    OwnerPolicy();

    bool hasOwners() const override { return true; }
    std::size_t stateBytes() const override { return m_homes.stateBytes(); }

    /// Cost: linear in the candidates, and in the keys up to a fixed number.
    std::optional<PlacementChoice> choose(const PlacementSubject &subject,
                                          std::span<const Candidate> candidates,
                                          SteadyTime now) override;

    void observe(const PlacementSubject &subject, const PlacementOutcome &outcome,
                 SteadyTime now) override;

private:
    void rememberAll(const PlacementSubject &subject, const Home &home, SteadyTime now);

    HomeTable m_homes;
};

} // namespace almondmill
