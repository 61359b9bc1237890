#pragma once

#include "almondmill/kernel/registry.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/candidate.h"
#include "almondmill/placement/placementchoice.h"
#include "almondmill/placement/placementoutcome.h"
#include "almondmill/placement/policyinput.h"

#include <cstddef>
#include <optional>
#include <span>

namespace almondmill {

/// Chooses the endpoint of a request. Plug-ins register under the name that the rules use.
/// Thread-safe.
class PlacementPolicy
{
public:
    virtual ~PlacementPolicy() = default;

    /// Whether the router that owns a prefix is queried before this router decides alone.
    virtual bool usesPrefixOwners() const { return false; }

    /// Bytes of memory held for decisions.
    virtual std::size_t stateBytes() const { return 0; }

    /// Returns the chosen candidate; empty when there is no candidate.
    virtual std::optional<PlacementChoice>
    choose(const PolicyInput &input, std::span<const Candidate> candidates, SteadyTime now) = 0;

    /// Processes the reported outcome of a placement; stateless policies ignore it.
    virtual void observe(const PolicyInput & /*input*/, const PlacementOutcome & /*outcome*/,
                         SteadyTime /*now*/)
    {}
};

using PlacementRegistry = Registry<PlacementPolicy>;

} // namespace almondmill
