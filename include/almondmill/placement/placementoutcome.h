#pragma once

#include <cstdint>

namespace almondmill {

/// What an answer told of a placement.
struct PlacementOutcome
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t cachedTokens = 0;
    std::uint32_t promptTokens = 0;
};

} // namespace almondmill
