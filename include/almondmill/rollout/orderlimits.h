#pragma once

#include <chrono>

namespace almondmill {

/// Longest time that an order, or the question before it, may be under way; engines answer in a few
/// milliseconds, and a lost packet is sent again within a quarter of a second.
constexpr std::chrono::milliseconds OrderTimeout{500};

/// For how long one renewal of the lease allows orders. Shorter than the least time between the
/// orders of two holders, so that a holder that dies is replaced soon.
constexpr std::chrono::milliseconds OrderLeaseDuration{2000};

} // namespace almondmill
