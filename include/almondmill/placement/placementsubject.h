#pragma once

#include "almondmill/config/priority.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace almondmill {

/// What a policy sees of one request.
struct PlacementSubject
{
    std::span<const std::uint64_t> prefixKeys; ///< Outermost prefix first.
    std::size_t level = 0; ///< Leading keys up to the level of nesting that requests share.
    Priority priority = Priority::High;

    /// Key of the shared level; zero for a request without whole blocks.
    std::uint64_t levelKey() const { return level == 0 ? 0 : prefixKeys[level - 1]; }
};

} // namespace almondmill
