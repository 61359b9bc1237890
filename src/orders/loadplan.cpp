#include "almondmill/orders/loadplan.h"

#include <algorithm>

namespace almondmill {

namespace {

bool servesRequests(const LoadCandidate &candidate)
{
    return candidate.known && !candidate.loading && candidate.takesWork;
}

bool needsOrder(const LoadCandidate &candidate)
{
    return candidate.known && !candidate.loading && !candidate.hasWeights;
}

std::vector<std::size_t> leastLoadedFirst(const std::vector<LoadCandidate> &candidates)
{
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (needsOrder(candidates[i]))
            indexes.push_back(i);
    }
    std::sort(indexes.begin(), indexes.end(), [&](std::size_t a, std::size_t b) {
        if (candidates[a].load != candidates[b].load)
            return candidates[a].load < candidates[b].load;
        return candidates[a].name < candidates[b].name;
    });
    return indexes;
}

} // namespace

std::vector<std::size_t> planLoads(const std::vector<LoadCandidate> &candidates,
                                   std::uint32_t maxConcurrentLoads)
{
    const auto loading = std::count_if(candidates.begin(), candidates.end(),
                                       [](const auto &candidate) { return candidate.loading; });
    auto serving = std::count_if(candidates.begin(), candidates.end(), servesRequests);
    auto freeSlots = static_cast<std::ptrdiff_t>(maxConcurrentLoads) - loading;
    std::vector<std::size_t> chosen;
    for (const std::size_t index : leastLoadedFirst(candidates)) {
        if (freeSlots <= 0)
            break;
        const bool isServing = servesRequests(candidates[index]);
        if (isServing && serving <= 1)
            continue;
        if (isServing)
            --serving;
        --freeSlots;
        chosen.push_back(index);
    }
    return chosen;
}

} // namespace almondmill
