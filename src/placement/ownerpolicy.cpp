#include "almondmill/placement/ownerpolicy.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/placement/heldprefixes.h"
#include "almondmill/placement/placementcost.h"
#include "almondmill/placement/rendezvous.h"

namespace almondmill {

namespace {

constexpr std::size_t RememberedHomes = 65536;
constexpr std::chrono::milliseconds HomeIdleTime{8000};
constexpr std::size_t DeepestRemembered = 32;
constexpr PlacementCost::Cost PreferenceWeight{40000};

/// A fraction that ranks the candidates for one prefix: the same at every router, another for each
/// prefix, so that prefixes do not crowd where several queues look equally short.
double preference(const Candidate &candidate, std::uint64_t key)
{
    return static_cast<double>(mixHash(candidate.nameHash, key) >> 11U) * 0x1.0p-53;
}

} // namespace

OwnerPolicy::OwnerPolicy()
    : m_homes(RememberedHomes, HomeIdleTime)
{}

std::optional<PlacementChoice> OwnerPolicy::choose(const PlacementSubject &subject,
                                                   std::span<const Candidate> candidates,
                                                   SteadyTime now)
{
    if (candidates.empty())
        return std::nullopt;
    const HeldPrefixes held(m_homes, subject.prefixKeys, now);
    const PlacementCost cost(candidates);
    const std::size_t blocks = subject.prefixKeys.size();
    PlacementChoice best;
    PlacementCost::Cost bestCost = PlacementCost::Cost::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const std::uint32_t cached = held.blocks(candidate.nameHash, candidate.incarnation);
        PlacementCost::Cost here = cost.of(candidate, blocks - cached);
        here -= PreferenceWeight * preference(candidate, subject.levelKey());
        const bool wins =
                here < bestCost
                || (here == bestCost && candidate.nameHash < candidates[best.index].nameHash);
        if (!wins)
            continue;
        best.index = i;
        best.cachedBlocks = cached;
        bestCost = here;
    }
    best.work = static_cast<std::int64_t>(blocks - best.cachedBlocks) * BlockPrefillTime;
    const Candidate &chosen = candidates[best.index];
    rememberAll(subject, Home{chosen.nameHash, chosen.incarnation}, now);
    return best;
}

void OwnerPolicy::observe(const PlacementSubject &subject, const PlacementOutcome &outcome,
                          SteadyTime now)
{
    rememberAll(subject, Home{outcome.nameHash, outcome.incarnation}, now);
}

void OwnerPolicy::rememberAll(const PlacementSubject &subject, const Home &home, SteadyTime now)
{
    const std::size_t depth = std::min(subject.prefixKeys.size(), DeepestRemembered);
    for (std::size_t i = 0; i < depth; ++i)
        m_homes.remember(subject.prefixKeys[i], home, now);
}

namespace {

const PlacementRegistry::Registrar OwnerRegistrar("owner",
                                                  [] { return std::make_unique<OwnerPolicy>(); });

} // namespace

} // namespace almondmill
