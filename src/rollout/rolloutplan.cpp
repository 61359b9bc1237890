#include "almondmill/rollout/rolloutplan.h"

#include <algorithm>
#include <tuple>

namespace almondmill {

namespace {

/// One in this many engines loads new weights at the same time. Each of them first finishes its
/// running requests, which takes longer than the loading itself. The other engines serve the load
/// during that time.
constexpr std::size_t EnginesPerConcurrentLoad = 5;

constexpr std::size_t MinConcurrentLoads = 2;

} // namespace

std::vector<std::size_t> planRollout(const std::vector<RolloutEngine> &engines,
                                     std::uint64_t target)
{
    std::vector<std::size_t> waiting;
    std::size_t loading = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        if (engines[index].isLoading)
            ++loading;
        else if (engines[index].version < target)
            waiting.push_back(index);
    }
    std::stable_sort(waiting.begin(), waiting.end(), [&](std::size_t first, std::size_t second) {
        const RolloutEngine &one = engines[first];
        const RolloutEngine &two = engines[second];
        return std::tie(one.version, one.openRequests) < std::tie(two.version, two.openRequests);
    });
    const std::size_t limit =
            std::max(MinConcurrentLoads, engines.size() / EnginesPerConcurrentLoad);
    waiting.resize(std::min(waiting.size(), limit - std::min(limit, loading)));
    return waiting;
}

} // namespace almondmill
