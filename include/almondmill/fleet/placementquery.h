#pragma once

#include "almondmill/config/priority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Asks the owner of a prefix where to place a request.
struct PlacementQuery
{
    std::vector<std::uint64_t> prefixKeys;
    std::string model;
    Priority priority = Priority::High;
    std::vector<std::string> excluded; ///< Endpoints already tried.
};

/// The owner's answer: advice only.
struct PlacementAdvice
{
    std::string endpoint; ///< Empty: the owner knows none.
    std::uint64_t incarnation = 0;
    std::uint32_t expectedCachedBlocks = 0;
    std::chrono::milliseconds validFor{0}; ///< How long it may be used for the same prefix.
};

} // namespace almondmill
