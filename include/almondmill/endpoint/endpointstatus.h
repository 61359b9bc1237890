#pragma once

#include <cstdint>

namespace almondmill {

/// What an endpoint tells of itself at `GET /v1/status`.
struct EndpointStatus
{
    std::uint64_t incarnation = 0; ///< Zero when not told.
    std::uint64_t weightsHash = 0; ///< Zero when not told.
    std::uint32_t inFlight = 0;
    bool leaving = false;
};

} // namespace almondmill
