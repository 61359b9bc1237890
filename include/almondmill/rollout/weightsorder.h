#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What happens to the requests that an engine runs when it takes new weights.
enum class RunningRequests {
    Finish,   ///< They end first, under the old weights.
    Reset,    ///< Their streams are cut.
    Continue, ///< They go on under the new weights.
};

/// Tells an engine to load a version of a model's weights.
struct WeightsOrder
{
    std::string endpointId; ///< Any other engine at that address must not take the order.
    std::string model;
    std::uint64_t version = 0;
    RunningRequests running = RunningRequests::Continue;
    std::string holder;                          ///< Of the lease under which it is given.
    std::uint64_t fencing = 0;                   ///< Grows with each change of holder.
    std::optional<std::uint64_t> expectedOrders; ///< Orders that the engine must have had.
};

/// How an engine answered an order.
enum class OrderAnswer {
    Accepted,      ///< It is being carried out.
    AlreadyHolds,  ///< The engine serves that version.
    Conflict,      ///< Another order is under way, or the count of orders differs.
    Fenced,        ///< It has seen a higher fencing number.
    OtherEndpoint, ///< Another engine has the address.
    Rejected,      ///< The engine can't carry it out.
    Unanswered,    ///< It may have been accepted, or may be carried out later.
};

} // namespace almondmill
