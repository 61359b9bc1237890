#include "almondmill/placement/placementcost.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr double IdleBlockWeight = 1.0;
constexpr PlacementCost::Cost FullFleetQueue{150000};
} // namespace

PlacementCost::PlacementCost(std::span<const Candidate> candidates)
{
    std::chrono::microseconds total{0};
    for (const Candidate &candidate : candidates)
        total += candidate.queueDelay;
    const auto count = static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
    m_blockWeight = IdleBlockWeight + Cost(total) / count / FullFleetQueue;
}

} // namespace almondmill
