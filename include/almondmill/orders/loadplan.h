#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// One endpoint of a model as the planner sees it.
struct LoadCandidate
{
    std::string name;
    bool hasWeights = false; ///< Whether it serves the weights that the inventory says.
    bool known = false;      ///< Whether its status is known at all.
    bool loading = false;    ///< Whether it is changing, or an order to it may be under way.
    bool takesWork = false;  ///< Whether requests are placed there.
    std::uint32_t load = 0;  ///< Requests open there.
};

/// Indexes of the endpoints to order now, the least loaded first: as many as may load at the same
/// time, and never so many that no endpoint of the model takes work. Cost: n log n.
std::vector<std::size_t> planLoads(const std::vector<LoadCandidate> &candidates,
                                   std::uint32_t maxConcurrentLoads);

} // namespace almondmill
