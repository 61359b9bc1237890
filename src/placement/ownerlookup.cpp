#include "almondmill/placement/ownerlookup.h"

#include "almondmill/fleet/memberview.h"
#include "almondmill/fleet/placementpeers.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/placement/prefixowners.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::size_t MaxAdviceEntries = 8192;
constexpr std::size_t MaxUnresponsivePeers = 1024;
constexpr std::chrono::milliseconds LookupTimeout{5};
constexpr std::chrono::milliseconds UnresponsivePeerBackoff{1000};
constexpr std::size_t MaxKeysBelowLevel = 8;

/// Bytes that both sides of one lookup send, without the keys: TCP and IP headers of four packets,
/// HTTP/2 frames with indexed headers, and the other fields of the messages.
constexpr double LookupBaseBytes = 340;
constexpr double KeyBytes = 8;

PlacementQuery makeQuery(const PlacementRequest &request, const SharedPrefixes::Level &level,
                         const std::set<std::string> &excluded)
{
    const std::size_t depth = std::min(request.prefixKeys.size(), level.depth + MaxKeysBelowLevel);
    PlacementQuery query;
    query.prefixKeys.assign(request.prefixKeys.begin(),
                            request.prefixKeys.begin() + static_cast<std::ptrdiff_t>(depth));
    query.model = request.model;
    query.priority = request.priority;
    query.excluded.assign(excluded.begin(), excluded.end());
    return query;
}

} // namespace

OwnerLookup::OwnerLookup(Metrics &metrics)
    : m_advice(MaxAdviceEntries)
    , m_unresponsivePeers(MaxUnresponsivePeers)
    , m_asked(metrics.counter("almondmill_placement_lookups_total", "result=\"asked\""))
    , m_unanswered(metrics.counter("almondmill_placement_lookups_total", "result=\"unanswered\""))
    , m_overBudget(metrics.counter("almondmill_placement_lookups_total", "result=\"over_budget\""))
    , m_bytes(metrics.counter("almondmill_placement_lookup_bytes_total"))
{}

OwnerLookup::Answer OwnerLookup::find(const PlacementRequest &request,
                                      const SharedPrefixes::Level &level,
                                      const std::set<std::string> &excluded,
                                      const MemberView *members, PlacementPeers *peers,
                                      SteadyTime now)
{
    Answer answer;
    answer.ownedHere = !members;
    if (!members || !request.configuration || level.depth == 0)
        return answer;
    const std::uint64_t key = request.prefixKeys[level.depth - 1];
    const std::string owner =
            prefixOwner(key, *members, *request.configuration, request.dataCentre);
    answer.ownedHere = owner.empty() || owner == members->self();
    if (answer.ownedHere || !peers)
        return answer;
    if (excluded.empty())
        answer.advised = m_advice.find(key, now);
    if (!answer.advised && level.shared)
        answer.advised = queryOwner(owner, request, level, excluded, *peers, now);
    return answer;
}

std::optional<CachedLocation> OwnerLookup::queryOwner(const std::string &owner,
                                                      const PlacementRequest &request,
                                                      const SharedPrefixes::Level &level,
                                                      const std::set<std::string> &excluded,
                                                      PlacementPeers &peers, SteadyTime now)
{
    const std::uint64_t ownerHash = hash64(owner);
    if (m_unresponsivePeers.find(ownerHash, now))
        return std::nullopt;
    const PlacementQuery query = makeQuery(request, level, excluded);
    const double bytes = LookupBaseBytes + KeyBytes * static_cast<double>(query.prefixKeys.size())
                         + static_cast<double>(query.model.size());
    if (!m_budget.take(request.prefixKeys[level.depth - 1], bytes, now)) {
        m_overBudget.add();
        return std::nullopt;
    }
    m_asked.add();
    m_bytes.add(static_cast<std::uint64_t>(bytes));
    const auto advice = peers.ask(owner, query, LookupTimeout);
    if (!advice) {
        m_unanswered.add();
        m_unresponsivePeers.store(ownerHash, CachedLocation{}, now + UnresponsivePeerBackoff);
        return std::nullopt;
    }
    if (advice->endpoint.empty())
        return std::nullopt;
    const CachedLocation location{hash64(advice->endpoint), advice->incarnation};
    m_advice.store(request.prefixKeys[level.depth - 1], location, now + advice->validFor);
    return location;
}

} // namespace almondmill
