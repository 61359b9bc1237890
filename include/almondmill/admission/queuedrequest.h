#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/kernel/time.h"

#include <cstdint>

namespace almondmill {

/// A request that waits until an endpoint has room.
struct QueuedRequest
{
    std::uint64_t id = 0;
    std::uint64_t account = 0; ///< Hash of the client account's name.
    std::uint32_t share = 1;   ///< Weight of the account.
    Priority priority = Priority::High;
    SteadyTime deadline; ///< Not sent after this.
};

} // namespace almondmill
