#pragma once

#include <string>
#include <variant>

namespace almondmill {

/// The whole answer arrived.
struct AttemptCompleted
{};

/// Certainly no byte of the request reached an endpoint.
struct AttemptNotSent
{
    std::string reason;
};

/// A byte may have left, and the answer did not arrive whole.
struct AttemptBroken
{
    std::string reason;
};

/// The observer ended the attempt.
struct AttemptCancelled
{};

using AttemptResult =
        std::variant<AttemptCompleted, AttemptNotSent, AttemptBroken, AttemptCancelled>;

} // namespace almondmill
