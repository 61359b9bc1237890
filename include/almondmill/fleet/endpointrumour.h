#pragma once

#include <cstdint>

namespace almondmill {

/// Condition of an endpoint as routers report it to each other, from best to worst.
enum class EndpointCondition { Serving, Leaving, Unreachable };

/// A router's observation of an endpoint, disseminated by gossip. Of two rumours about the same
/// endpoint the one with the higher revision wins; at equal revisions the worse condition wins.
struct EndpointRumour
{
    std::uint64_t nameHash = 0;    ///< Hash of the endpoint's name.
    std::uint64_t incarnation = 0; ///< Zero if unknown.
    std::uint64_t weightsHash = 0; ///< Zero if unknown.
    std::uint64_t revision = 0;    ///< Raised at each observed change.
    std::uint32_t load = 0;
    EndpointCondition condition = EndpointCondition::Serving;
    bool vmLeaving = false; ///< Whether the VM list marks the endpoint's VM as leaving.
};

} // namespace almondmill
