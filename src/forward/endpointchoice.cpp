#include "almondmill/forward/endpointchoice.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <vector>

namespace almondmill {

namespace {

using Candidates = std::span<const EndpointCandidate>;

/// Number of engines, in rendezvous order, that a shared part may be sent to besides the engines
/// that cache it. The load reported by other routers is up to one second old: if every engine were
/// a candidate for every part, all routers would send to the same idle engine at the same time.
constexpr std::size_t MaxCandidatesPerPart = 4;

/// Assumed latency of an endpoint that has not answered yet; low, so that the endpoint is tried.
constexpr double UnknownLatencyMs = 1;

/// Weight of the failure share: a failed call costs a second call and the time of both.
constexpr double FailureWeight = 4;

/// Multiple of the expected time that is added for an endpoint in backoff.
constexpr double AvoidedFactor = 50;

/// Added for an endpoint in another data centre: a round trip and the price of the traffic.
constexpr double RemotePenaltyMs = 2;

// The constants named ...Cost are multiples of the target latency.

/// An answer that is generated with outdated weights loses this share of its value.
constexpr double OutdatedWeightsCost = 0.2;

/// Cost of an engine that has to fetch the shared parts: the transfer may fail, and parts that are
/// not found have to be computed.
constexpr double FetchCost = 0.3;

/// Cost of computing shared parts again that another engine computes or caches: the prefill delays
/// all requests that wait at the engine, which costs as much as the value of the answer.
constexpr double RecomputeCost = 1;

/// Cost of an engine other than the assigned one for new parts: enough to keep two routers from
/// having the same part computed at two engines.
constexpr double OtherEngineCost = 0.05;

/// Cost of missing the target latency: a late answer keeps about a third of its value.
constexpr double MissedTargetCost = 0.7;

/// Cost of an engine with a rate limit for requests that should leave its permits to larger ones.
constexpr double LimitedEngineCost = 10;

/// Cost per multiple of the engine's memory that is needed beyond `FreeMemoryRatio`: when memory
/// runs out, running requests are preempted and computed again.
constexpr double MemoryPressureCost = 3;

/// Share of an engine's memory up to which the memory needed adds no cost.
constexpr double FreeMemoryRatio = 0.8;

/// Cost of an endpoint in backoff after no answer or a refusal.
constexpr double AvoidedCost = 3;

/// Cost of a failure share of one; prefers engines that do not fail when all else is equal.
constexpr double EngineFailureCost = 2;

double expectedMilliseconds(const EndpointCandidate &candidate)
{
    const double latency =
            candidate.latency.count() == 0
                    ? UnknownLatencyMs
                    : std::chrono::duration<double, std::milli>(candidate.latency).count();
    const double load = 1 + candidate.load.openRequests / candidate.slots;
    const double remote = candidate.isLocal ? 0 : RemotePenaltyMs;
    const double failing = FailureWeight * candidate.failureShare;
    return (latency * load + remote) * (1 + failing + (candidate.isAvoided ? AvoidedFactor : 0));
}

/// How an engine obtains the shared parts of a prompt.
enum class SharedParts {
    Cached,     ///< They were last sent to this engine.
    Fetched,    ///< From another engine or the KV cache store.
    Recomputed, ///< Another engine has or computes them, but they cannot be fetched.
    NewAtAssignedEngine,
    NewAtOtherEngine,
};

double sharedPartsCost(SharedParts parts)
{
    switch (parts) {
    case SharedParts::Fetched:
        return FetchCost;
    case SharedParts::Recomputed:
        return RecomputeCost;
    case SharedParts::NewAtOtherEngine:
        return OtherEngineCost;
    case SharedParts::Cached:
    case SharedParts::NewAtAssignedEngine:
        break;
    }
    return 0;
}

/// Age of the load of other routers, which is an average over a second.
constexpr PerformanceFigures::Milliseconds PeerLoadAge{1500};

/// Below this deviation the load counts as known.
constexpr double MinDeviation = 0.1;

/// Requests that a further one is expected to wait for, each until a slot becomes free. The open
/// requests of other routers are known late. The older a report is compared with the time that a
/// request stays, the nearer is the present number to the mean over the endpoints, and the further
/// it may be from what is expected. Were the report taken as it is, all routers would send to an
/// endpoint until it is reported to be full, and none while it is.
double expectedWaiting(const EndpointCandidate &candidate, double meanPeerRequests)
{
    const double residences = PeerLoadAge / (candidate.slotWait * candidate.slots);
    const double reported = candidate.peerRequests;
    const double present = meanPeerRequests + std::exp(-residences) * (reported - meanPeerRequests);
    const double mean = candidate.load.openRequests - reported + present + 1 - candidate.slots;
    // So many requests have ended since, and about as many have begun.
    const double deviation = std::sqrt(2 * present * std::min(residences, 1.0));
    if (deviation < MinDeviation)
        return std::max(0.0, mean);
    const double ratio = mean / deviation;
    const double density = std::exp(-ratio * ratio / 2) / std::sqrt(2 * std::numbers::pi);
    const double probability = std::erfc(-ratio / std::numbers::sqrt2) / 2;
    return deviation * density + mean * probability;
}

/// Cost of placing a prompt, in target latencies.
double promptCost(const EndpointCandidate &candidate, const SoonestFirstEvent &rule,
                  SharedParts parts, double meanPeerRequests)
{
    const bool recomputesShared = parts == SharedParts::Recomputed;
    const double prefillTokens = candidate.load.pendingPrefillTokens + rule.ownTokens
                                 + (recomputesShared ? rule.sharedTokens : 0);
    const double fetch =
            parts == SharedParts::Fetched ? rule.sharedTokens / candidate.fetchedTokensPerMs : 0;
    const double waiting = expectedWaiting(candidate, meanPeerRequests);
    const double firstEvent = prefillTokens / candidate.prefillTokensPerMs + fetch
                              + waiting * candidate.slotWait.count();
    const double targets = firstEvent / static_cast<double>(rule.targetLatency.count());
    const double needed = rule.ownTokens + rule.sharedTokens + rule.outputTokens;
    const double memory = candidate.memoryTokens > 0
                                  ? (candidate.load.heldTokens + needed) / candidate.memoryTokens
                                  : 0;
    const bool leavesPermit = candidate.isRateLimited && !rule.prefersLimitedEngines;
    const bool usesPermit = candidate.isRateLimited && rule.prefersLimitedEngines;
    return targets + (targets > 1 ? MissedTargetCost : 0)
           + (usesPermit && parts == SharedParts::Fetched ? 0 : sharedPartsCost(parts))
           + MemoryPressureCost * std::max(0.0, memory - FreeMemoryRatio)
           + (candidate.isAvoided ? AvoidedCost : 0) + (leavesPermit ? LimitedEngineCost : 0)
           + (candidate.hasOutdatedWeights ? OutdatedWeightsCost : 0)
           + EngineFailureCost * candidate.failureShare;
}

/// Candidates that do not load weights; all candidates when every one of them does.
std::vector<std::size_t> selectableIndexes(Candidates candidates)
{
    std::vector<std::size_t> indexes;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (!candidates[index].isLoading)
            indexes.push_back(index);
    }
    if (!indexes.empty())
        return indexes;
    for (std::size_t index = 0; index < candidates.size(); ++index)
        indexes.push_back(index);
    return indexes;
}

struct EndpointSelector
{
    Candidates candidates;
    const std::vector<std::size_t> &indexes;

    template<typename Cost>
    std::size_t cheapest(std::uint64_t tieKey, Cost &&cost) const
    {
        std::size_t best = indexes.front();
        double bestCost = std::numeric_limits<double>::max();
        for (const std::size_t index : indexes) {
            const double own = cost(index);
            const bool wins = own < bestCost
                              || (own == bestCost
                                  && rendezvousRank(tieKey, candidates[index].idHash)
                                             < rendezvousRank(tieKey, candidates[best].idHash));
            if (!wins)
                continue;
            best = index;
            bestCost = own;
        }
        return best;
    }

    std::size_t operator()(const LeastExpectedTime &rule) const
    {
        return cheapest(rule.requestHash,
                        [&](std::size_t index) { return expectedMilliseconds(candidates[index]); });
    }

    std::size_t operator()(const SoonestFirstEvent &rule) const
    {
        const auto ranked = rankedFor(rule.sharedPartHash);
        const bool isNew = std::none_of(ranked.begin(), ranked.end(), [&](std::size_t index) {
            return candidates[index].hasSharedParts;
        });
        const double meanPeers = meanPeerRequests();
        std::size_t best = ranked.front();
        double bestCost = std::numeric_limits<double>::max();
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            const auto &candidate = candidates[ranked[rank]];
            if (rank >= MaxCandidatesPerPart && !candidate.hasSharedParts)
                continue;
            const SharedParts elsewhere =
                    candidate.canFetchParts ? SharedParts::Fetched : SharedParts::Recomputed;
            const SharedParts known = candidate.hasSharedParts ? SharedParts::Cached : elsewhere;
            const SharedParts unknown =
                    rank == 0 ? SharedParts::NewAtAssignedEngine : SharedParts::NewAtOtherEngine;
            const double cost = promptCost(candidate, rule, isNew ? unknown : known, meanPeers);
            if (cost >= bestCost)
                continue;
            best = ranked[rank];
            bestCost = cost;
        }
        return best;
    }

    /// Open requests of the other routers at an endpoint, on average.
    double meanPeerRequests() const
    {
        double sum = 0;
        for (const std::size_t index : indexes)
            sum += candidates[index].peerRequests;
        return sum / static_cast<double>(indexes.size());
    }

    /// The indexes in rendezvous order for `key`, the same at every router.
    std::vector<std::size_t> rankedFor(std::uint64_t key) const
    {
        std::vector<std::size_t> ranked = indexes;
        std::sort(ranked.begin(), ranked.end(), [&](std::size_t first, std::size_t second) {
            return rendezvousRank(key, candidates[first].idHash)
                   < rendezvousRank(key, candidates[second].idHash);
        });
        return ranked;
    }
};

} // namespace

std::uint64_t rendezvousRank(std::uint64_t sharedPartHash, std::uint64_t endpointIdHash)
{
    return mixHash(sharedPartHash, endpointIdHash);
}

std::optional<std::size_t> chooseEndpoint(const PlacementRule &rule, Candidates candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const auto indexes = selectableIndexes(candidates);
    return std::visit(EndpointSelector{candidates, indexes}, rule);
}

} // namespace almondmill
