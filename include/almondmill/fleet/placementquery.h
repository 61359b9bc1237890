#pragma once

#include "almondmill/config/priority.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Query to the router that owns a prefix: which endpoint a request should be sent to.
struct PlacementQuery
{
    std::vector<std::uint64_t> prefixKeys;
    std::string model;
    Priority priority = Priority::High;
    std::vector<std::string> excluded; ///< Names of the endpoints already tried.
};

/// The owner's answer to a placement query. The receiver may place the request elsewhere.
struct PlacementAdvice
{
    std::string endpoint; ///< Name of the endpoint; empty if the owner has none.
    std::uint64_t incarnation = 0;
    std::uint32_t expectedCachedBlocks = 0;
    std::chrono::milliseconds validFor{0}; ///< How long the receiver may cache it for the prefix.
};

} // namespace almondmill
