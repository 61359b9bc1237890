#pragma once

#include "almondmill/fleet/placementquery.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Placement queries to other routers. Blocks for at most the timeout; nothing is returned when the
/// peer gave no answer.
class PlacementPeers
{
public:
    virtual ~PlacementPeers() = default;

    virtual std::optional<PlacementAdvice> ask(const std::string &peer, const PlacementQuery &query,
                                               std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
