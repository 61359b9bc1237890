#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/cachedlocation.h"
#include "almondmill/placement/candidate.h"
#include "almondmill/placement/placementrequest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace almondmill {

/// The candidate set of one request: the endpoints that may take it at the time of the decision.
class CandidateSet
{
public:
    /// Skips endpoints that are named in `excluded` or take no work. If none is left, ejected and
    /// unreachable endpoints that are not in `excluded` become candidates; endpoints that are
    /// leaving never do. Cost: linear in the states.
    CandidateSet(const PlacementRequest &request, const EndpointSet::States &states,
                 const std::set<std::string> &excluded, SteadyTime now);

    std::span<const Candidate> candidates() const { return m_candidates; }

    /// Index of the candidate with this endpoint and incarnation; empty when there is none.
    std::optional<std::size_t> indexOf(const CachedLocation &location) const;

    const EndpointSet::StatePointer &state(std::size_t index) const
    {
        return m_states[m_stateIndexes[index]];
    }

private:
    void add(std::uint32_t index, const PlacementRequest &request,
             std::chrono::microseconds roundTrip, SteadyTime now);

    const EndpointSet::States &m_states;
    std::vector<Candidate> m_candidates;
    std::vector<std::uint32_t> m_stateIndexes;
};

} // namespace almondmill
