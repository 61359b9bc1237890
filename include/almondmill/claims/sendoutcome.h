#pragma once

#include "almondmill/claims/claim.h"

#include <string>
#include <variant>

namespace almondmill {

/// Certainly no byte of the call left.
struct NeverSent
{
    std::string reason;
};

/// A byte may have left, and no whole answer came.
struct MayHaveRun
{
    std::string reason;
};

/// What came of sending a call at most once.
using SendOutcome = std::variant<StoredAnswer, NeverSent, MayHaveRun>;

} // namespace almondmill
