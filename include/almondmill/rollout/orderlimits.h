#pragma once

#include <chrono>

namespace almondmill {

/// Timeout of an order and of the report call before it. Engines answer within a few milliseconds,
/// and a lost packet is retransmitted within 250 ms.
constexpr std::chrono::milliseconds OrderTimeout{500};

/// Duration of the lease after each renewal. It is shorter than the minimum time between orders of
/// two holders, so that a failed holder is replaced without much further delay.
constexpr std::chrono::milliseconds OrderLeaseDuration{2000};

} // namespace almondmill
