#pragma once

#include <chrono>
#include <cstddef>

namespace almondmill {

/// What one caller's connection may take of the router.
struct CallerLimits
{
    std::size_t headBytes = 64U << 10U; ///< Request line and headers.
    std::size_t headerCount = 100;
    std::size_t bodyBytes = 8U << 20U;
    std::size_t requestsPerConnection = 1000;
    std::chrono::milliseconds headTime{10000};  ///< From a request's first byte to its last header.
    std::chrono::milliseconds bodyTime{30000};  ///< For the whole body.
    std::chrono::milliseconds writeTime{30000}; ///< Longest time without room for a byte.
    std::chrono::milliseconds idleTime{5000};   ///< Without a request.
};

} // namespace almondmill
