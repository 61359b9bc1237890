#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

/// Callers that were refused for a quota are told to come back within this time, while their
/// request can still be in time.
constexpr std::chrono::milliseconds LongestQuotaReturn{2000};

/// Time in which `perSecond` adds up to `amount`, at most `LongestQuotaReturn`.
SteadyTime::duration quotaTime(double amount, double perSecond);

} // namespace almondmill
