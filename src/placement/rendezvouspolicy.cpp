#include "almondmill/kernel/hash.h"
#include "almondmill/placement/placementpolicy.h"

namespace almondmill {

namespace {

constexpr double LoadBoundFactor = 1.25;

/// Highest random weight over the candidates whose load is within a factor of the mean: needs no
/// memory, so a router that has just started chooses as before.
class RendezvousPolicy : public PlacementPolicy
{
public:
    std::optional<std::size_t> choose(const PlacementRequest &request,
                                      std::span<const Candidate> candidates,
                                      SteadyTime now) override;
};

double loadBound(std::span<const Candidate> candidates)
{
    double total = 0;
    for (const Candidate &candidate : candidates)
        total += candidate.load;
    return LoadBoundFactor * (total + 1.0) / static_cast<double>(candidates.size()) + 1.0;
}

std::optional<std::size_t> RendezvousPolicy::choose(const PlacementRequest &request,
                                                    std::span<const Candidate> candidates,
                                                    SteadyTime /*now*/)
{
    if (candidates.empty())
        return std::nullopt;
    const std::uint64_t key = request.prefixKeys.empty() ? 0 : request.prefixKeys.back();
    const double bound = loadBound(candidates);
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].load > bound)
            continue;
        const std::uint64_t weight = mixHash(candidates[i].nameHash, key);
        if (!best || weight > bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

const PlacementRegistry::Registrar RendezvousRegistrar("rendezvous", [] {
    return std::make_unique<RendezvousPolicy>();
});

} // namespace

} // namespace almondmill
