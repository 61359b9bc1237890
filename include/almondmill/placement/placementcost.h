#pragma once

#include "almondmill/placement/candidate.h"

#include "almondmill/placement/rendezvous.h"

#include <chrono>
#include <cstddef>
#include <span>

namespace almondmill {

/// What a recomputed block costs beyond its own prefill: more, the fuller the fleet is, or copies
/// of prefixes crowd each other out.
class PlacementCost
{
public:
    using Cost = std::chrono::duration<double, std::micro>;

    /// Takes the load from the candidates' mean queue. Cost: linear.
    explicit PlacementCost(std::span<const Candidate> candidates);

    /// Cost of placing at the candidate a request with so many blocks to recompute.
    Cost of(const Candidate &candidate, std::size_t missingBlocks) const
    {
        const double blocks = static_cast<double>(missingBlocks) * m_blockWeight;
        const Cost wait = candidate.queue + candidate.distance;
        return (wait + blocks * Cost(BlockPrefillTime)) * (1.0 / candidate.weight);
    }

private:
    double m_blockWeight;
};

} // namespace almondmill
