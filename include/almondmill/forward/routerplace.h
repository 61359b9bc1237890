#pragma once

#include <cstdint>

namespace almondmill {

/// A router's place among those that share the limit of one endpoint.
struct RouterPlace
{
    std::uint32_t index = 0;   ///< In the rendezvous order of the endpoint's incarnation.
    std::uint32_t routers = 1; ///< Number of all routers, including this one.
    bool isKnown = true;       ///< Whether this router knows the fleet; else it comes last.
};

/// The part of a limit that falls to the router at `place`. The parts of all routers add up to the
/// limit, so that many routers don't each send a first request to a small endpoint.
constexpr std::uint32_t shareOf(std::uint32_t limit, const RouterPlace &place)
{
    const std::uint32_t remainder = limit % place.routers;
    return limit / place.routers + (place.index < remainder ? 1 : 0);
}

} // namespace almondmill
