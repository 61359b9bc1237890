#include "almondmill/forward/servicepace.h"

#include "almondmill/forward/endpointpace.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Ratio of the slots that belong to paced endpoints.
double pacedRatio(std::span<const PacedCandidate> candidates, SteadyTime now)
{
    double paced = 0;
    double all = 0;
    for (const PacedCandidate &candidate : candidates) {
        all += candidate.slots;
        if (candidate.pace->isInForce(now))
            paced += candidate.slots;
    }
    return all > 0 ? paced / all : 0;
}

/// Gives a router without a share one request, at the endpoint where it comes first: so the
/// requests of all routers spread over the endpoints.
void ensureOneRequest(std::span<const PacedCandidate> candidates,
                      std::vector<std::uint32_t> &bounds)
{
    const bool hasShare = std::any_of(bounds.begin(), bounds.end(),
                                      [](std::uint32_t bound) { return bound > 0; });
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [](const auto &first, const auto &second) {
                                           return first.place.index < second.place.index;
                                       });
    if (!hasShare && best != candidates.end())
        bounds[static_cast<std::size_t>(best - candidates.begin())] = 1;
}

/// Bound of a paced endpoint while `ratio` of the service's slots are paced. The others can't take
/// what is withheld from many, so the bound approaches what the endpoint holds with its queue: a
/// service that starts as a whole has room for it. An endpoint that asked for a pause gets no more
/// than its slots.
std::uint32_t boundOf(const PacedCandidate &candidate, double ratio, SteadyTime now)
{
    constexpr double HeldPerSlot = 8;
    const bool hasStarted = candidate.pace->cause() == PaceCause::Start;
    if (hasStarted && ratio >= 1 && !candidate.place.isKnown)
        return NoBound;
    const double raisedRatio =
            hasStarted ? std::max(ratio, HeldPerSlot * ratio * ratio * ratio) : ratio;
    const auto raised = static_cast<std::uint32_t>(candidate.slots * raisedRatio);
    return shareOf(std::max(candidate.pace->limitAt(now), raised), candidate.place);
}

} // namespace

std::vector<std::uint32_t> pacedBounds(std::span<const PacedCandidate> candidates, SteadyTime now)
{
    const double ratio = pacedRatio(candidates, now);
    std::vector<std::uint32_t> bounds;
    bounds.reserve(candidates.size());
    for (const PacedCandidate &candidate : candidates) {
        if (!candidate.pace->isInForce(now)) {
            bounds.push_back(NoBound);
            continue;
        }
        bounds.push_back(boundOf(candidate, ratio, now));
    }
    ensureOneRequest(candidates, bounds);
    return bounds;
}

} // namespace almondmill
