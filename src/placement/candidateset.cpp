#include "almondmill/placement/candidateset.h"

#include "almondmill/config/configuration.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::chrono::microseconds OtherDataCentreRoundTrip{1500};
constexpr std::chrono::microseconds OtherRegionRoundTrip{30000};
constexpr double MinWeight = 0.05;

/// Assumed round-trip times from the router's data centre to the others.
class RoundTrips
{
public:
    RoundTrips(const PlacementRequest &request)
        : m_ownHash(hash64(request.dataCentre))
    {
        if (!request.configuration)
            return;
        const auto &all = request.configuration->inventory().dataCentres;
        const auto own = std::find_if(all.begin(), all.end(), [&](const DataCentre &item) {
            return item.name == request.dataCentre;
        });
        for (const DataCentre &item : all) {
            if (own != all.end() && item.region != own->region)
                m_inOtherRegions.push_back(hash64(item.name));
        }
    }

    std::chrono::microseconds to(std::uint64_t dataCentreHash) const
    {
        if (dataCentreHash == m_ownHash)
            return std::chrono::microseconds{0};
        const bool isInOtherRegion =
                std::find(m_inOtherRegions.begin(), m_inOtherRegions.end(), dataCentreHash)
                != m_inOtherRegions.end();
        return isInOtherRegion ? OtherRegionRoundTrip : OtherDataCentreRoundTrip;
    }

private:
    std::uint64_t m_ownHash;
    std::vector<std::uint64_t> m_inOtherRegions; ///< Hashes of the data centres' names.
};

} // namespace

CandidateSet::CandidateSet(const PlacementRequest &request, const EndpointSet::States &states,
                           const std::set<std::string> &excluded, SteadyTime now)
    : m_states(states)
{
    const RoundTrips roundTrips(request);
    m_candidates.reserve(states.size());
    m_stateIndexes.reserve(states.size());
    const auto addWhere = [&](const auto &isEligible) {
        for (std::uint32_t i = 0; i < states.size(); ++i) {
            const EndpointState &state = *states[i];
            if (!isEligible(state))
                continue;
            if (!excluded.empty() && excluded.count(state.endpoint().name) != 0)
                continue;
            add(i, request, roundTrips.to(state.dataCentreHash()), now);
        }
    };
    addWhere([&](const EndpointState &state) { return state.takesWork(now); });
    if (m_candidates.empty())
        addWhere([](const EndpointState &state) { return !state.shouldDrain(); });
}

void CandidateSet::add(std::uint32_t index, const PlacementRequest &request,
                       std::chrono::microseconds roundTrip, SteadyTime now)
{
    const EndpointState &state = *m_states[index];
    m_candidates.push_back({state.nameHash(), state.cacheIncarnation(),
                            state.queue().at(request.priority, now), roundTrip,
                            std::max(state.slowStartFactor(now), MinWeight)});
    m_stateIndexes.push_back(index);
}

std::optional<std::size_t> CandidateSet::indexOf(const CachedLocation &location) const
{
    for (std::size_t i = 0; i < m_candidates.size(); ++i) {
        const bool isSame = m_candidates[i].nameHash == location.nameHash
                            && m_candidates[i].incarnation == location.incarnation;
        if (isSame)
            return i;
    }
    return std::nullopt;
}

} // namespace almondmill
