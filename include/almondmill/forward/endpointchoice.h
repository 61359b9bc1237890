#pragma once

#include "almondmill/forward/endpointcandidate.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <variant>

namespace almondmill {

/// Places requests for plain services at the endpoint with the least expected response time.
struct LeastExpectedTime
{
    std::uint64_t requestHash = 0; ///< Breaks ties differently for each request.
};

/// Places prompts at the engine where the first event is expected earliest, relative to the target
/// latency. Shared parts are cached at the engine that they were last sent to; any other engine
/// fetches them if another engine or the KV cache store already has them, and computes them
/// otherwise. Every router sends new parts to the same engine (rendezvous hashing).
struct SoonestFirstEvent
{
    std::uint64_t sharedPartHash = 0; ///< Identifies the longest shared prefix.
    double ownTokens = 0;             ///< Have to be computed at every engine.
    double sharedTokens = 0;          ///< Cached at the last engine, else fetched or computed.
    double outputTokens = 0;
    std::chrono::milliseconds targetLatency{1000};
    /// The request is one of the largest ones, which are to use the permits of engines with a rate
    /// limit.
    bool prefersLimitedEngines = true;
};

using PlacementRule = std::variant<LeastExpectedTime, SoonestFirstEvent>;

/// Rendezvous hash of a shared part and an endpoint, the same at every router. The endpoint with
/// the lowest rank is the engine assigned to the part.
std::uint64_t rendezvousRank(std::uint64_t sharedPartHash, std::uint64_t endpointIdHash);

/// Index of the candidate that `rule` selects; nothing when there are no candidates. Takes
/// O(n log n) time.
std::optional<std::size_t> chooseEndpoint(const PlacementRule &rule,
                                          std::span<const EndpointCandidate> candidates);

} // namespace almondmill
