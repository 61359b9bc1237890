#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace almondmill {

/// A policy's choice among candidates.
struct PlacementChoice
{
    std::size_t index = 0;
    std::uint32_t cachedBlocks = 0;    ///< Leading blocks expected in the endpoint's cache.
    std::chrono::microseconds work{0}; ///< Expected prefill work of the other blocks.
};

} // namespace almondmill
