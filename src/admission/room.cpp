#include "almondmill/admission/room.h"

namespace almondmill {

std::size_t roomOf(const EndpointSet::States &states, std::uint32_t maxInFlight, SteadyTime now)
{
    std::size_t room = 0;
    for (const auto &state : states) {
        const std::uint32_t load = state->load();
        if (load < maxInFlight && state->takesWork(now))
            room += maxInFlight - load;
    }
    return room;
}

} // namespace almondmill
