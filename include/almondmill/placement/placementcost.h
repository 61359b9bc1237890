#pragma once

#include "almondmill/placement/candidate.h"

#include "almondmill/placement/rendezvous.h"

#include <chrono>
#include <cstddef>
#include <span>

namespace almondmill {

/// Cost of a placement: the expected wait and the prefill of the missing blocks. The more loaded
/// the fleet is, the more a missing block costs beyond its own prefill, because each further copy
/// of a prefix evicts other prefixes from the caches.
class PlacementCost
{
public:
    using Cost = std::chrono::duration<double, std::micro>;

    /// Derives the load of the fleet from the candidates' mean queue. Cost: linear.
    explicit PlacementCost(std::span<const Candidate> candidates);

    /// Cost of placing a request at the candidate, which must recompute `missingBlocks` blocks.
    Cost of(const Candidate &candidate, std::size_t missingBlocks) const
    {
        const double blocks = static_cast<double>(missingBlocks) * m_blockWeight;
        const Cost wait = candidate.queueDelay + candidate.roundTrip;
        return (wait + blocks * Cost(BlockPrefillTime)) * (1.0 / candidate.weight);
    }

private:
    double m_blockWeight;
};

} // namespace almondmill
