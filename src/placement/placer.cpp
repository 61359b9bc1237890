#include "almondmill/placement/placer.h"

#include <algorithm>

namespace almondmill {

Placer::Placer(std::unique_ptr<PlacementPolicy> policy)
    : m_policy(std::move(policy))
{}

EndpointSet::StatePointer Placer::choose(const PlacementRequest &request,
                                         const EndpointSet::States &states,
                                         const std::set<std::string> &excluded, SteadyTime now)
{
    std::vector<Candidate> candidates;
    EndpointSet::States offered;
    candidates.reserve(states.size());
    offered.reserve(states.size());
    for (const auto &state : states) {
        if (!state->takesWork(now) || excluded.count(state->endpoint().name) != 0)
            continue;
        const std::uint32_t load = std::max(state->inFlight(), state->reportedLoad());
        candidates.push_back({state->nameHash(), state->incarnation(), load,
                              state->endpoint().dataCentre == request.dataCentre,
                              state->warmth(now)});
        offered.push_back(state);
    }
    const auto chosen = m_policy->choose(request, candidates, now);
    return chosen ? offered[*chosen] : nullptr;
}

void Placer::observe(const PlacementRequest &request, const PlacementOutcome &outcome,
                     SteadyTime now)
{
    m_policy->observe(request, outcome, now);
}

} // namespace almondmill
