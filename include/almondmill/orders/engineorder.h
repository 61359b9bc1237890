#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace almondmill {

/// Tells an engine which weights to serve.
struct EngineOrder
{
    std::string weights;
    std::uint64_t fencing = 0;
};

/// The engine took the order.
struct OrderAccepted
{};

/// The engine has seen a higher fencing number: another router holds the lease.
struct OrderFenced
{
    std::uint64_t seen = 0;
};

/// No answer, or another one: the order may or may not be carried out.
struct OrderUnanswered
{
    std::string reason;
};

using OrderResult = std::variant<OrderAccepted, OrderFenced, OrderUnanswered>;

} // namespace almondmill
