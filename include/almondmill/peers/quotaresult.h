#pragma once

#include <chrono>
#include <variant>

namespace almondmill {

/// The request is within its account's quota.
struct QuotaAdmitted
{};

/// The request is beyond its account's quota.
struct QuotaRefused
{
    std::chrono::milliseconds retryAfter{0};
};

using QuotaResult = std::variant<QuotaAdmitted, QuotaRefused>;

} // namespace almondmill
