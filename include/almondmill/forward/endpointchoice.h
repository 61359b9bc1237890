#pragma once

#include "almondmill/forward/endpointcandidate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace almondmill {

/// Places calls of plain services: where the least time is expected.
struct LeastExpectedTime
{
    std::uint64_t requestHash = 0; ///< Breaks ties differently for each request.
};

/// Places prompts: where the first event is expected soonest, in parts of its target latency.
/// Shared parts are cached where they were sent last; elsewhere they are fetched, if some engine or
/// the store of kept KV cache has them by now. Parts that are new go to the same engine from every
/// router.
struct SoonestFirstEvent
{
    std::uint64_t sharedPartHash = 0; ///< Of the longest shared prefix.
    double ownTokens = 0;             ///< To be read anywhere.
    double sharedTokens = 0;          ///< Cached where they were sent last, else fetched or read.
    double outputTokens = 0;
    std::chrono::milliseconds targetLatency{1000};
};

using PlacementRule = std::variant<LeastExpectedTime, SoonestFirstEvent>;

/// Place of an endpoint in the order that belongs to a shared part, the same at every router: new
/// parts go to the least.
std::uint64_t homeRank(std::uint64_t sharedPartHash, std::uint64_t endpointIdHash);

/// Index of the endpoint that `rule` picks; nothing when there are no candidates. Cost: n log n.
std::optional<std::size_t> chooseEndpoint(const PlacementRule &rule,
                                          std::span<const EndpointCandidate> candidates);

} // namespace almondmill
