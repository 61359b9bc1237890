#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What an engine does with its running requests when it loads new weights.
enum class RunningRequests {
    Finish,   ///< Finish them with the old weights first.
    Reset,    ///< Cut their streams.
    Continue, ///< Continue them with the new weights.
};

/// Order to an engine to load a version of a model's weights.
struct WeightsOrder
{
    std::string endpointId; ///< Another engine at the same address must reject the order.
    std::string model;
    std::uint64_t version = 0;
    RunningRequests running = RunningRequests::Continue;
    std::string holder;        ///< Router that holds the lease under which it is sent.
    std::uint64_t fencing = 0; ///< Fencing token; increases with each change of holder.
    std::optional<std::uint64_t>
            expectedOrders; ///< Count that the engine must have accepted before.
};

/// An engine's answer to an order.
enum class OrderAnswer {
    Accepted,      ///< The engine is carrying it out.
    AlreadyHolds,  ///< The engine already serves that version.
    Conflict,      ///< Another order is in progress, or the count of orders differs.
    Fenced,        ///< The engine has seen a higher fencing token.
    OtherEndpoint, ///< Another engine has the address.
    Rejected,      ///< The engine cannot carry it out.
    Unanswered,    ///< No answer; it may have been accepted or may still arrive.
};

} // namespace almondmill
