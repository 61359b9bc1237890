#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace almondmill {

/// Order to an engine to serve a version of the weights.
struct EngineOrder
{
    std::string weights;
    std::uint64_t fencing = 0; ///< Fencing token of the lease under which it is sent.
};

/// The engine accepted the order.
struct OrderAccepted
{};

/// The engine rejected the order because it has seen a higher fencing token: another router has
/// acquired the lease.
struct OrderFenced
{
    std::uint64_t seen = 0; ///< Highest fencing token that the engine has seen.
};

/// No answer, or an unexpected one: the order may or may not be carried out.
struct OrderUnanswered
{
    std::string reason;
};

using OrderResult = std::variant<OrderAccepted, OrderFenced, OrderUnanswered>;

} // namespace almondmill
