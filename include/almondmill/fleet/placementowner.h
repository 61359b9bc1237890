#pragma once

#include "almondmill/fleet/placementquery.h"
#include "almondmill/kernel/time.h"

namespace almondmill {

/// Answers other routers' placement queries for the prefixes that this router owns.
class PlacementOwner
{
public:
    virtual ~PlacementOwner() = default;

    /// Called from the threads of the peer listener.
    virtual PlacementAdvice advise(const PlacementQuery &query, SteadyTime now) = 0;
};

} // namespace almondmill
