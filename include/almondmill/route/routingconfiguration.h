#pragma once

#include "almondmill/route/keyedaccount.h"
#include "almondmill/route/route.h"
#include "almondmill/route/routedservice.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace almondmill {

/// What callers may send and how long they may take.
struct CallerBounds
{
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000}; ///< From a header's first byte to its end.
    std::chrono::milliseconds idleTimeout{15000};  ///< Between two requests of a connection.
};

/// The operator's whole desired state for routing.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    bool keysRequired = false; ///< Whether there are client accounts at all.
    std::vector<KeyedAccount> accounts;
    CallerBounds bounds;
};

} // namespace almondmill
