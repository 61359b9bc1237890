#include "almondmill/placement/ownerpolicy.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/placement/cachedprefixes.h"
#include "almondmill/placement/placementcost.h"
#include "almondmill/placement/rendezvous.h"

namespace almondmill {

namespace {

constexpr std::size_t MaxLocations = 65536;
constexpr std::chrono::milliseconds LocationIdleTimeout{8000};
constexpr std::size_t MaxRecordedKeys = 32;
constexpr PlacementCost::Cost PreferenceWeight{40000};

/// Rank of the candidate for one prefix, from 0 up to 1: the same at every router, but different
/// for each prefix, so that prefixes spread over the endpoints when several queues are equally
/// short.
double preference(const Candidate &candidate, std::uint64_t key)
{
    return static_cast<double>(mixHash(candidate.nameHash, key) >> 11U) * 0x1.0p-53;
}

} // namespace

OwnerPolicy::OwnerPolicy()
    : m_locations(MaxLocations, LocationIdleTimeout)
{}

std::optional<PlacementChoice>
OwnerPolicy::choose(const PolicyInput &input, std::span<const Candidate> candidates, SteadyTime now)
{
    if (candidates.empty())
        return std::nullopt;
    const CachedPrefixes cachedPrefixes(m_locations, input.prefixKeys, now);
    const PlacementCost cost(candidates);
    const std::size_t blocks = input.prefixKeys.size();
    PlacementChoice best;
    PlacementCost::Cost bestCost = PlacementCost::Cost::max();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const Candidate &candidate = candidates[i];
        const std::uint32_t cached =
                cachedPrefixes.blocks(candidate.nameHash, candidate.incarnation);
        PlacementCost::Cost candidateCost = cost.of(candidate, blocks - cached);
        candidateCost -= PreferenceWeight * preference(candidate, input.levelKey());
        const bool wins = candidateCost < bestCost
                          || (candidateCost == bestCost
                              && candidate.nameHash < candidates[best.index].nameHash);
        if (!wins)
            continue;
        best.index = i;
        best.cachedBlocks = cached;
        bestCost = candidateCost;
    }
    best.work = static_cast<std::int64_t>(blocks - best.cachedBlocks) * BlockPrefillTime;
    const Candidate &chosen = candidates[best.index];
    recordAll(input, CachedLocation{chosen.nameHash, chosen.incarnation}, now);
    return best;
}

void OwnerPolicy::observe(const PolicyInput &input, const PlacementOutcome &outcome, SteadyTime now)
{
    recordAll(input, CachedLocation{outcome.nameHash, outcome.incarnation}, now);
}

void OwnerPolicy::recordAll(const PolicyInput &input, const CachedLocation &location,
                            SteadyTime now)
{
    const std::size_t depth = std::min(input.prefixKeys.size(), MaxRecordedKeys);
    for (std::size_t i = 0; i < depth; ++i)
        m_locations.record(input.prefixKeys[i], location, now);
}

namespace {

const PlacementRegistry::Registrar OwnerRegistrar("owner",
                                                  [] { return std::make_unique<OwnerPolicy>(); });

} // namespace

} // namespace almondmill
