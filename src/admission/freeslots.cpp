#include "almondmill/admission/freeslots.h"

namespace almondmill {

std::size_t freeSlots(const EndpointSet::States &states, std::uint32_t maxInFlight, SteadyTime now)
{
    std::size_t slots = 0;
    for (const auto &state : states) {
        const std::uint32_t load = state->load();
        if (load < maxInFlight && state->takesWork(now))
            slots += maxInFlight - load;
    }
    return slots;
}

} // namespace almondmill
