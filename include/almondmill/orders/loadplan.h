#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// State of one endpoint of a model, as input of the load plan.
struct LoadCandidate
{
    std::string name;
    bool hasWeights = false; ///< Whether it serves the weights set in the inventory.
    bool known = false;      ///< Whether its status is known.
    bool loading = false;    ///< Whether it is loading, or an order to it may be in flight.
    bool takesWork = false;  ///< Whether requests are placed on it.
    std::uint32_t load = 0;  ///< Open requests.
};

/// Selects the endpoints to order now, the least loaded first. At most `maxConcurrentLoads` of the
/// model's endpoints load at the same time, and at least one of those that serve requests is left
/// serving. Returns indexes into `candidates`. Complexity: O(n log n).
std::vector<std::size_t> planLoads(const std::vector<LoadCandidate> &candidates,
                                   std::uint32_t maxConcurrentLoads);

} // namespace almondmill
