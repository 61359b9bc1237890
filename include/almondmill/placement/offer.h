#pragma once

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/candidate.h"
#include "almondmill/placement/home.h"
#include "almondmill/placement/placementrequest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace almondmill {

/// The endpoints that may take one request at one moment.
class Offer
{
public:
    /// Passes over endpoints that are named in `excluded` or take no work. Where that leaves none,
    /// those that are ejected or unreachable are offered all the same, never those that leave.
    /// Cost: linear in the states.
    Offer(const PlacementRequest &request, const EndpointSet::States &states,
          const std::set<std::string> &excluded, SteadyTime now);

    std::span<const Candidate> candidates() const { return m_candidates; }

    /// Index of the candidate that is this life of the endpoint.
    std::optional<std::size_t> indexOf(const Home &home) const;

    const EndpointSet::StatePointer &state(std::size_t index) const
    {
        return m_states[m_stateIndexes[index]];
    }

private:
    void add(std::uint32_t index, const PlacementRequest &request,
             std::chrono::microseconds distance, SteadyTime now);

    const EndpointSet::States &m_states;
    std::vector<Candidate> m_candidates;
    std::vector<std::uint32_t> m_stateIndexes;
};

} // namespace almondmill
