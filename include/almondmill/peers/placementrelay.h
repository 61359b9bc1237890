#pragma once

#include "almondmill/forward/partlocations.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// A placement on its way to all routers. Routers stand in a ring; direction d leads to the router
/// 2^d places on. Whoever holds the placement sends it once in each of the directions left, and
/// hands the others on with it, so that every router gets it over at most as many hops as there are
/// directions, and nobody sends it more often than that.
struct RelayedPlacement
{
    PartPlacement placement;
    std::uint32_t directions = 0; ///< One bit for each that is left.
};

/// The placements that a router has yet to send on. Belongs to the event loop.
class PlacementRelay
{
public:
    /// How many directions a ring of `routers` has.
    static unsigned directionCount(std::size_t routers);

    /// Place in the ring that direction `direction` leads to from `place`.
    static std::size_t target(std::size_t place, unsigned direction, std::size_t routers);

    /// A placement of this router itself, in a ring of `routers`.
    void add(const PartPlacement &placement, std::size_t routers);

    /// A placement that another router sent here.
    void relay(const RelayedPlacement &relayed);

    /// What to send in that direction now, at most `most`, oldest first.
    std::vector<RelayedPlacement> take(unsigned direction, std::size_t most);

private:
    void push(const RelayedPlacement &relayed);

    std::deque<RelayedPlacement> m_waiting;
};

/// The placements as CBOR.
std::string encodePlacements(const std::vector<RelayedPlacement> &placements);

/// The reverse; nothing when the bytes are no such message.
std::optional<std::vector<RelayedPlacement>> decodePlacements(std::string_view bytes);

} // namespace almondmill
