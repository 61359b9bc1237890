#pragma once

#include <chrono>
#include <cstddef>

namespace almondmill {

/// Resource limits of one caller's connection.
struct CallerLimits
{
    std::size_t headBytes = 64U << 10U; ///< Request line and headers.
    std::size_t headerCount = 100;
    std::size_t bodyBytes = 8U << 20U;
    std::size_t requestsPerConnection = 1000;
    /// From a request's first byte to the end of its headers.
    std::chrono::milliseconds headTimeout{10000};
    std::chrono::milliseconds bodyTimeout{30000};  ///< For reading the complete body.
    std::chrono::milliseconds writeTimeout{30000}; ///< Longest wait for space in the send buffer.
    std::chrono::milliseconds idleTimeout{5000};   ///< Longest wait for the next request.
};

} // namespace almondmill
