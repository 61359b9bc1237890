#pragma once

#include <cstdint>

namespace almondmill {

/// What routers tell each other of an endpoint.
enum class EndpointCondition { Serving, Leaving, Unreachable };

/// One router's observation of an endpoint. The higher revision wins; at the same revision the
/// worse condition wins.
struct EndpointRumour
{
    std::uint64_t nameHash = 0;
    std::uint64_t incarnation = 0; ///< Zero when it is not known.
    std::uint64_t weightsHash = 0; ///< Zero when it is not known.
    std::uint64_t revision = 0;    ///< Raised by each observed change.
    std::uint32_t load = 0;
    EndpointCondition condition = EndpointCondition::Serving;
    bool vmLeaving = false; ///< Whether the VM list says that its VM is leaving.
};

} // namespace almondmill
