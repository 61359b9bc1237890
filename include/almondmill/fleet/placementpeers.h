#pragma once

#include "almondmill/fleet/placementquery.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Client side of the placement queries between routers.
class PlacementPeers
{
public:
    virtual ~PlacementPeers() = default;

    /// Sends a placement query to `peer`. Blocks for at most `timeout` and returns `std::nullopt`
    /// if the call failed or timed out.
    virtual std::optional<PlacementAdvice> ask(const std::string &peer, const PlacementQuery &query,
                                               std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
