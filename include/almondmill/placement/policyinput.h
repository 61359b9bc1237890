#pragma once

#include "almondmill/config/priority.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace almondmill {

/// Input of a placement policy for one request.
struct PolicyInput
{
    std::span<const std::uint64_t> prefixKeys; ///< Outermost prefix first.
    std::size_t level = 0; ///< Number of leading keys up to the level that requests share.
    Priority priority = Priority::High;

    /// Key of the shared level; zero for a request without complete blocks.
    std::uint64_t levelKey() const { return level == 0 ? 0 : prefixKeys[level - 1]; }
};

} // namespace almondmill
