#pragma once

#include <cstdint>

namespace almondmill {

/// Use of the endpoint's cache, as the response to a placed request reports it.
struct PlacementOutcome
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t promptTokens = 0;
};

} // namespace almondmill
