#include "almondmill/placement/placementpolicy.h"
#include "almondmill/placement/rendezvous.h"

namespace almondmill {

namespace {

/// Highest random weight over the candidates whose queue is within a factor of the mean: needs no
/// memory, so a router that has just started chooses as before.
class RendezvousPolicy : public PlacementPolicy
{
public:
    std::optional<PlacementChoice> choose(const PlacementSubject &subject,
                                          std::span<const Candidate> candidates,
                                          SteadyTime now) override;
};

std::optional<PlacementChoice> RendezvousPolicy::choose(const PlacementSubject &subject,
                                                        std::span<const Candidate> candidates,
                                                        SteadyTime /*now*/)
{
    const auto index = rendezvousWithin(subject.levelKey(), candidates,
                                        loadBound(candidates, subject.prefixKeys.size()));
    if (!index)
        return std::nullopt;
    const auto blocks = static_cast<std::int64_t>(subject.prefixKeys.size() - subject.level + 1);
    return PlacementChoice{*index, 0, blocks * BlockPrefillTime};
}

const PlacementRegistry::Registrar RendezvousRegistrar("rendezvous", [] {
    return std::make_unique<RendezvousPolicy>();
});

} // namespace

} // namespace almondmill
