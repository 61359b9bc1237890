#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondmill {

/// State of one engine of a model, as input of the roll-out plan.
struct RolloutEngine
{
    std::uint64_t version = 0; ///< Version of the weights that it serves.
    bool isLoading = false;    ///< Whether an order to it is in flight.
    double openRequests = 0;   ///< From all routers, as far as is known.
};

/// Selects the engines to order now: oldest weights first, then the least loaded. Limits how many
/// engines load at the same time, so that the others can serve the load meanwhile. Returns indexes
/// into `engines`.
std::vector<std::size_t> planRollout(const std::vector<RolloutEngine> &engines,
                                     std::uint64_t target);

} // namespace almondmill
