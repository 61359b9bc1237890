#pragma once

#include "almondmill/route/keyedaccount.h"
#include "almondmill/route/route.h"
#include "almondmill/route/routedservice.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace almondmill {

/// Limits on the size and duration of callers' requests.
struct CallerBounds
{
    std::uint32_t maxHeaderBytes = 16U << 10U;
    std::uint64_t maxBodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{3000}; ///< From the header's first byte to its end.
    std::chrono::milliseconds idleTimeout{15000};  ///< Between two requests on a connection.
};

/// The complete routing configuration set by the operator.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    bool keysRequired = false; ///< Whether any client accounts are configured.
    std::vector<KeyedAccount> accounts;
    CallerBounds bounds;
};

} // namespace almondmill
