#pragma once

#include <cstdint>

namespace almondmill {

/// Status that an endpoint reports at `GET /v1/status`.
struct EndpointStatus
{
    std::uint64_t incarnation = 0; ///< Zero when not reported.
    std::uint64_t weightsHash = 0; ///< Zero when not reported.
    std::uint32_t inFlight = 0;
    bool leaving = false;
};

} // namespace almondmill
