#include "almondmill/forward/endpointchoice.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace almondmill {

namespace {

using Candidates = std::span<const EndpointCandidate>;

/// Stands for the latency of an endpoint that has not answered yet; it is tried soon.
constexpr double UnknownLatencyMs = 1;

/// A failed call costs a second one and the time of both.
constexpr double FailurePenalty = 4;

/// By how much longer a call takes at an endpoint that was silent or full a moment ago.
constexpr double AvoidedFactor = 50;

/// Added to an endpoint in another data centre: a round trip and the price of its bytes.
constexpr double RemotePenaltyMs = 2;

/// Prompt tokens that an engine reads in a millisecond, as the deployments' sheets say.
constexpr double TokensPerMs = 38.4;

/// Tokens that are fetched in a millisecond: 280 Gbit/s at 164 KB a token, less the call.
constexpr double FetchedTokensPerMs = 150;

/// Part of the worth that an answer made with old weights loses.
constexpr double OldWeightsCost = 0.2;

/// Of a place other than the home, in target latencies: what is not cached there and can't be
/// fetched is read again, which costs more than the answer is worth.
constexpr double AwayCost = 0.5;

/// Beyond the target latency an answer is worth a third.
constexpr double LateCost = 0.7;

/// For each request that an engine has beyond its slots: it waits for another one's end.
constexpr double WaitForSlotMs = 20;

/// Running requests are preempted when memory runs out, and read again: the cost of an engine whose
/// memory is asked for twice.
constexpr double NoMemoryCost = 3;

/// Part of an engine's memory up to which its requests cost nothing more.
constexpr double FreeMemoryPart = 0.8;

/// Of an endpoint that was silent or full a moment ago, in target latencies.
constexpr double AvoidedCost = 3;

/// Prefers engines that don't fail where all else is the same.
constexpr double EngineFailureCost = 2;

double expectedMilliseconds(const EndpointCandidate &candidate)
{
    const double latency =
            candidate.latency.count() == 0
                    ? UnknownLatencyMs
                    : std::chrono::duration<double, std::milli>(candidate.latency).count();
    const double load = 1 + candidate.load.openRequests / candidate.slots;
    const double remote = candidate.isLocal ? 0 : RemotePenaltyMs;
    const double failing = FailurePenalty * candidate.failureShare;
    return (latency * load + remote) * (1 + failing + (candidate.isAvoided ? AvoidedFactor : 0));
}

/// Random, the same at every router, and differently ordered for each key.
std::uint64_t rankOf(const EndpointCandidate &candidate, std::uint64_t key)
{
    return mixHash(key, candidate.idHash);
}

/// Cost of placing a prompt, in target latencies; the home's parts are cached.
double promptCost(const EndpointCandidate &candidate, const SoonestFirstEvent &rule, bool isHome)
{
    const double unread = candidate.load.unreadTokens + rule.ownTokens;
    const double fetch = isHome ? 0 : rule.sharedTokens / FetchedTokensPerMs;
    const double overSlots = std::max(0.0, candidate.load.openRequests + 1 - candidate.slots);
    const double firstEvent = unread / TokensPerMs + fetch + overSlots * WaitForSlotMs;
    const double targets = firstEvent / static_cast<double>(rule.targetLatency.count());
    const double needed = rule.ownTokens + rule.sharedTokens + rule.outputTokens;
    const double memory = candidate.memoryTokens > 0
                                  ? (candidate.load.heldTokens + needed) / candidate.memoryTokens
                                  : 0;
    return targets + (targets > 1 ? LateCost : 0) + (isHome ? 0 : AwayCost)
           + NoMemoryCost * std::max(0.0, memory - FreeMemoryPart)
           + (candidate.isAvoided ? AvoidedCost : 0)
           + (candidate.hasOldWeights ? OldWeightsCost : 0)
           + EngineFailureCost * candidate.failureShare;
}

/// All that can take requests; those that load weights only when every one does.
std::vector<std::size_t> notLoading(Candidates candidates)
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

struct Chooser
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
            const bool wins =
                    own < bestCost
                    || (own == bestCost
                        && rankOf(candidates[index], tieKey) < rankOf(candidates[best], tieKey));
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
        std::size_t home = indexes.front();
        for (const std::size_t index : indexes) {
            if (rankOf(candidates[index], rule.sharedPartHash)
                < rankOf(candidates[home], rule.sharedPartHash))
                home = index;
        }
        return cheapest(rule.sharedPartHash, [&](std::size_t index) {
            return promptCost(candidates[index], rule, index == home);
        });
    }
};

} // namespace

std::optional<std::size_t> chooseEndpoint(const PlacementRule &rule, Candidates candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const auto indexes = notLoading(candidates);
    return std::visit(Chooser{candidates, indexes}, rule);
}

} // namespace almondmill
