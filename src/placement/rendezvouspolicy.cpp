#include "almondmill/placement/placementpolicy.h"
#include "almondmill/placement/rendezvous.h"

namespace almondmill {

namespace {

/// Rendezvous hashing with bounded loads: only candidates whose queue is within the load bound are
/// considered. The policy is stateless, so a restarted router makes the same choices as before.
class RendezvousPolicy : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(const PolicyInput &input,
                                          std::span<const Candidate> candidates,
                                          SteadyTime now) override;
};

std::optional<PlacementChoice> RendezvousPolicy::choose(const PolicyInput &input,
                                                        std::span<const Candidate> candidates,
                                                        SteadyTime /*now*/)
{
    const auto index = rendezvousWithin(input.levelKey(), candidates,
                                        loadBound(candidates, input.prefixKeys.size()));
    if (!index)
        return std::nullopt;
    const auto blocks = static_cast<std::int64_t>(input.prefixKeys.size() - input.level + 1);
    return PlacementChoice{*index, 0, blocks * BlockPrefillTime};
}

const PlacementRegistry::Registrar RendezvousRegistrar("rendezvous", [] {
    return std::make_unique<RendezvousPolicy>();
});

} // namespace

} // namespace almondmill
