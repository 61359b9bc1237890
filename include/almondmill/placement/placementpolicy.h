#pragma once

#include "almondmill/kernel/registry.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/candidate.h"
#include "almondmill/placement/placementoutcome.h"
#include "almondmill/placement/placementrequest.h"

#include <cstddef>
#include <optional>
#include <span>

namespace almondmill {

/// Chooses the endpoint of a request. Plug-ins register by the name that the rules use. Safe to
/// call from several threads.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Index of the chosen candidate; nothing when there is none.
    virtual std::optional<std::size_t> choose(const PlacementRequest &request,
                                              std::span<const Candidate> candidates,
                                              SteadyTime now) = 0;

    /// Takes in what an answer told; policies without memory ignore it.
    virtual void observe(const PlacementRequest & /*request*/, const PlacementOutcome & /*outcome*/,
                         SteadyTime /*now*/)
    {}
};

using PlacementRegistry = Registry<PlacementPolicy>;

} // namespace almondmill
