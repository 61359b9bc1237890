#include "almondmill/placement/offer.h"

#include "almondmill/config/configuration.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::chrono::microseconds OtherDataCentre{1500};
constexpr std::chrono::microseconds OtherRegion{30000};
constexpr double LeastWeight = 0.05;

/// How far each data centre is from the router's own.
class Distances
{
public:
    Distances(const PlacementRequest &request)
        : m_own(hash64(request.dataCentre))
    {
        if (!request.configuration)
            return;
        const auto &all = request.configuration->inventory().dataCentres;
        const auto own = std::find_if(all.begin(), all.end(), [&](const DataCentre &item) {
            return item.name == request.dataCentre;
        });
        for (const DataCentre &item : all) {
            if (own != all.end() && item.region != own->region)
                m_far.push_back(hash64(item.name));
        }
    }

    std::chrono::microseconds to(std::uint64_t dataCentreHash) const
    {
        if (dataCentreHash == m_own)
            return std::chrono::microseconds{0};
        const bool far = std::find(m_far.begin(), m_far.end(), dataCentreHash) != m_far.end();
        return far ? OtherRegion : OtherDataCentre;
    }

private:
    std::uint64_t m_own;
    std::vector<std::uint64_t> m_far; ///< Hashes of other regions' data centres.
};

} // namespace

Offer::Offer(const PlacementRequest &request, const EndpointSet::States &states,
             const std::set<std::string> &excluded, SteadyTime now)
    : m_states(states)
{
    const Distances distances(request);
    m_candidates.reserve(states.size());
    m_stateIndexes.reserve(states.size());
    const auto addWhere = [&](const auto &mayTake) {
        for (std::uint32_t i = 0; i < states.size(); ++i) {
            const EndpointState &state = *states[i];
            if (!mayTake(state))
                continue;
            if (!excluded.empty() && excluded.count(state.endpoint().name) != 0)
                continue;
            add(i, request, distances.to(state.dataCentreHash()), now);
        }
    };
    addWhere([&](const EndpointState &state) { return state.takesWork(now); });
    if (m_candidates.empty())
        addWhere([](const EndpointState &state) { return !state.isToLeave(); });
}

void Offer::add(std::uint32_t index, const PlacementRequest &request,
                std::chrono::microseconds distance, SteadyTime now)
{
    const EndpointState &state = *m_states[index];
    m_candidates.push_back({state.nameHash(), state.cacheLife(),
                            state.queue().at(request.priority, now), distance,
                            std::max(state.warmth(now), LeastWeight)});
    m_stateIndexes.push_back(index);
}

std::optional<std::size_t> Offer::indexOf(const Home &home) const
{
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const bool isSame = m_candidates[i].nameHash == home.nameHash
                            && m_candidates[i].incarnation == home.incarnation;
        if (isSame)
            return i;
    }
    return std::nullopt;
}

} // namespace almondmill
