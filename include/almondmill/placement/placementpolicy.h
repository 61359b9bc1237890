#pragma once

#include "almondmill/kernel/registry.h"
#include "almondmill/kernel/time.h"
#include "almondmill/placement/candidate.h"
#include "almondmill/placement/placementchoice.h"
#include "almondmill/placement/placementoutcome.h"
#include "almondmill/placement/placementsubject.h"

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

    /// Whether the router that owns a prefix is asked before this one decides alone.
    virtual bool hasOwners() const { return false; }

    /// Bytes of memory held for decisions.
    virtual std::size_t stateBytes() const { return 0; }

    /// The choice; nothing when there is no candidate.
    virtual std::optional<PlacementChoice> choose(const PlacementSubject &subject,
                                                  std::span<const Candidate> candidates,
                                                  SteadyTime now) = 0;

    /// Takes in what an answer told; policies without memory ignore it.
    virtual void observe(const PlacementSubject & /*subject*/, const PlacementOutcome & /*outcome*/,
                         SteadyTime /*now*/)
    {}
};

using PlacementRegistry = Registry<PlacementPolicy>;

} // namespace almondmill
