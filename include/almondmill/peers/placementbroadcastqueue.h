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

/// A placement that is being broadcast to all routers. The routers form a ring ordered by name, in
/// which direction d leads 2^d positions ahead. A router sends the placement once in each remaining
/// direction, and each receiver continues with the directions that the sender has not used yet. So
/// every router is reached within as many hops as there are directions, and no router sends a
/// placement more often than that.
struct BroadcastPlacement
{
    PartPlacement placement;
    std::uint32_t directions = 0; ///< Bit mask of the directions that remain.
};

/// Queue of the placements that a router has yet to forward to its peers. Must be used on the event
/// loop only.
class PlacementBroadcastQueue
{
public:
    /// Number of directions in a ring of `routers`.
    static unsigned directionCount(std::size_t routers);

    /// Position in a ring of `routers` that `direction` leads to from `position`.
    static std::size_t target(std::size_t position, unsigned direction, std::size_t routers);

    /// Enqueues a placement made by this router, for all directions of a ring of `routers`.
    void add(const PartPlacement &placement, std::size_t routers);

    /// Enqueues a placement received from a peer.
    void enqueueReceived(const BroadcastPlacement &entry);

    /// Takes up to `limit` placements, oldest first, to send in `direction`. Each keeps the
    /// directions that remain.
    std::vector<BroadcastPlacement> take(unsigned direction, std::size_t limit);

private:
    void push(const BroadcastPlacement &entry);

    std::deque<BroadcastPlacement> m_queue;
};

/// Serializes placements to CBOR.
std::string encodePlacements(const std::vector<BroadcastPlacement> &placements);

/// Parses placements; returns nullopt when `bytes` is not such a message.
std::optional<std::vector<BroadcastPlacement>> decodePlacements(std::string_view bytes);

} // namespace almondmill
