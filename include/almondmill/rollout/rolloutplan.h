#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondmill {

/// One engine of a model as the roll-out sees it.
struct RolloutEngine
{
    std::uint64_t version = 0; ///< Of the weights that it serves.
    bool isLoading = false;    ///< An order to it is under way.
    double openRequests = 0;   ///< Over all routers, as far as is known.
};

/// Indexes of the engines to order now: those with the oldest weights first, of these the least
/// loaded. Never so many at once that the others can't carry the load.
std::vector<std::size_t> planRollout(const std::vector<RolloutEngine> &engines,
                                     std::uint64_t target);

} // namespace almondmill
