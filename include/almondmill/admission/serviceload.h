#pragma once

#include "almondmill/route/urgencylevels.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace almondmill {

/// Open requests of all routers at the endpoints of a service, and what these can run.
struct ServiceLoad
{
    /// Levels of urgency; see UrgencyLevels.
    static constexpr std::size_t Levels = UrgencyLevels::Count;
    using ByLevel = std::array<double, Levels>;

    ByLevel openByLevel{};
    double slots = 0; ///< Requests that the endpoints run concurrently.
    std::chrono::duration<double, std::milli> residence{0}; ///< Time that a request holds a slot.

    double openRequests() const;

    /// Time until a request that is sent now gets a slot. Endpoints run the most urgent waiting
    /// request first, so it waits for the open requests that are at least as urgent, while the more
    /// urgent ones that still arrive take their share of the slots. Zero while slots are free.
    std::chrono::milliseconds expectedWait(std::size_t level) const;
};

} // namespace almondmill
