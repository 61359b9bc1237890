#include "almondmill/placement/rendezvous.h"

#include "almondmill/kernel/hash.h"

#include <cmath>

namespace almondmill {

namespace {

constexpr double MovedBlockWeight = 1.0;
constexpr double HashRange = 18446744073709551616.0; // 2^64

/// Score of weighted rendezvous hashing. The hash, read as a fraction, is raised to the power of
/// `1 / weight`, so that each candidate is selected in proportion to its weight.
std::uint64_t randomWeight(const Candidate &candidate, std::uint64_t key)
{
    const std::uint64_t hash = mixHash(candidate.nameHash, key);
    if (candidate.weight >= 1.0)
        return hash;
    if (candidate.weight <= 0.0)
        return 0;
    const double fraction = static_cast<double>(hash >> 11U) * 0x1.0p-53;
    return static_cast<std::uint64_t>(std::pow(fraction, 1.0 / candidate.weight) * HashRange);
}

} // namespace

std::chrono::microseconds loadBound(std::span<const Candidate> candidates, std::size_t blocks)
{
    std::chrono::microseconds total{0};
    for (const Candidate &candidate : candidates)
        total += candidate.queueDelay;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    const double bound = LoadBoundFactor * static_cast<double>(total.count()) / count;
    const auto moved = static_cast<double>(std::max<std::size_t>(blocks, 1)) * MovedBlockWeight
                       * static_cast<double>(BlockPrefillTime.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(bound + moved));
}

std::optional<std::size_t> rendezvousWithin(std::uint64_t key,
                                            std::span<const Candidate> candidates,
                                            std::chrono::microseconds bound)
{
    std::optional<std::size_t> best;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].queueDelay > bound)
            continue;
        const std::uint64_t weight = randomWeight(candidates[i], key);
        const bool wins =
                !best || weight > bestWeight
                || (weight == bestWeight && candidates[i].nameHash < candidates[*best].nameHash);
        if (wins) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace almondmill
