#pragma once

#include <string>
#include <variant>

namespace almondmill {

/// The complete response arrived.
struct AttemptCompleted
{};

/// The request was certainly not sent: no byte of it reached an endpoint.
struct AttemptNotSent
{
    std::string reason;
};

/// At least one byte of the request may have been sent, and no complete response arrived.
struct AttemptBroken
{
    std::string reason;
};

/// The attempt was cancelled by its observer or by `cancel`.
struct AttemptCancelled
{};

using AttemptResult =
        std::variant<AttemptCompleted, AttemptNotSent, AttemptBroken, AttemptCancelled>;

} // namespace almondmill
