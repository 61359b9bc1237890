#include "almondmill/kernel/hash.h"
#include "almondmill/placement/placementpolicy.h"
#include "almondmill/placement/rendezvous.h"

#include <atomic>

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

private:
    std::atomic<std::uint64_t> m_unkeyed{0}; ///< Spreads requests that have no whole block.
};

std::optional<PlacementChoice> RendezvousPolicy::choose(const PlacementSubject &subject,
                                                        std::span<const Candidate> candidates,
                                                        SteadyTime /*now*/)
{
    std::uint64_t key = subject.levelKey();
    if (key == 0)
        key = mixHash(1, m_unkeyed.fetch_add(1, std::memory_order_relaxed));
    const auto index =
            rendezvousWithin(key, candidates, loadBound(candidates, subject.prefixKeys.size()));
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
