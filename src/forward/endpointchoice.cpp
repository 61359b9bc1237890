#include "almondmill/forward/endpointchoice.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace almondmill {

namespace {

using Candidates = std::span<const EndpointCandidate>;

/// Engines that a shared part may go to, besides where it is. What routers know of each other's
/// load is up to a second old: were all engines open to all parts, every router would fill the same
/// idle one at the same time.
constexpr std::size_t ChoicesPerPart = 4;

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

/// Of a place other than where the parts are, in target latencies: a transfer may fail, and what
/// is not found is read.
constexpr double AwayCost = 0.3;

/// Of a place where shared parts are read that another engine reads or has: the time is taken from
/// all that wait there, as much as the answer is worth.
constexpr double ReadAgainCost = 1;

/// Of a place for new parts other than the one that all routers choose, in target latencies: enough
/// to keep two routers from reading the same part at two engines.
constexpr double NotHomeCost = 0.05;

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

/// Where the shared parts of a prompt are.
enum class Parts { Cached, Fetched, ReadAgain, NewHome, New };

double awayCost(Parts parts)
{
    switch (parts) {
    case Parts::Fetched:
        return AwayCost;
    case Parts::ReadAgain:
        return ReadAgainCost;
    case Parts::New:
        return NotHomeCost;
    case Parts::Cached:
    case Parts::NewHome:
        break;
    }
    return 0;
}

/// Cost of placing a prompt, in target latencies.
double promptCost(const EndpointCandidate &candidate, const SoonestFirstEvent &rule, Parts parts)
{
    const bool readsShared = parts == Parts::ReadAgain;
    const double unread =
            candidate.load.unreadTokens + rule.ownTokens + (readsShared ? rule.sharedTokens : 0);
    const double fetch = parts == Parts::Fetched ? rule.sharedTokens / FetchedTokensPerMs : 0;
    const double overSlots = std::max(0.0, candidate.load.openRequests + 1 - candidate.slots);
    const double firstEvent = unread / TokensPerMs + fetch + overSlots * WaitForSlotMs;
    const double targets = firstEvent / static_cast<double>(rule.targetLatency.count());
    const double needed = rule.ownTokens + rule.sharedTokens + rule.outputTokens;
    const double memory = candidate.memoryTokens > 0
                                  ? (candidate.load.heldTokens + needed) / candidate.memoryTokens
                                  : 0;
    return targets + (targets > 1 ? LateCost : 0) + awayCost(parts)
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
            const bool wins = own < bestCost
                              || (own == bestCost
                                  && homeRank(tieKey, candidates[index].idHash)
                                             < homeRank(tieKey, candidates[best].idHash));
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
        std::size_t best = ranked.front();
        double bestCost = std::numeric_limits<double>::max();
        for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
            const auto &candidate = candidates[ranked[rank]];
            if (rank >= ChoicesPerPart && !candidate.hasSharedParts)
                continue;
            const Parts elsewhere = candidate.canFetchParts ? Parts::Fetched : Parts::ReadAgain;
            const Parts known = candidate.hasSharedParts ? Parts::Cached : elsewhere;
            const Parts unknown = rank == 0 ? Parts::NewHome : Parts::New;
            const double cost = promptCost(candidate, rule, isNew ? unknown : known);
            if (cost >= bestCost)
                continue;
            best = ranked[rank];
            bestCost = cost;
        }
        return best;
    }

    /// The indexes in the order that belongs to `key`, the same at every router.
    std::vector<std::size_t> rankedFor(std::uint64_t key) const
    {
        std::vector<std::size_t> ranked = indexes;
        std::sort(ranked.begin(), ranked.end(), [&](std::size_t first, std::size_t second) {
            return homeRank(key, candidates[first].idHash)
                   < homeRank(key, candidates[second].idHash);
        });
        return ranked;
    }
};

} // namespace

std::uint64_t homeRank(std::uint64_t sharedPartHash, std::uint64_t endpointIdHash)
{
    return mixHash(sharedPartHash, endpointIdHash);
}

std::optional<std::size_t> chooseEndpoint(const PlacementRule &rule, Candidates candidates)
{
    if (candidates.empty())
        return std::nullopt;
    const auto indexes = notLoading(candidates);
    return std::visit(Chooser{candidates, indexes}, rule);
}

} // namespace almondmill
