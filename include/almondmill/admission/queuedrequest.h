#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/kernel/time.h"

#include <cstdint>

namespace almondmill {

/// A request that waits until an endpoint has a free slot.
struct QueuedRequest
{
    std::uint64_t id = 0;
    std::uint64_t account = 0; ///< Hash of the client account's name.
    std::uint32_t share = 1;   ///< Weight of the account in fair queueing.
    Priority priority = Priority::High;
    SteadyTime deadline; ///< The request is not sent at or after this time.
};

} // namespace almondmill
