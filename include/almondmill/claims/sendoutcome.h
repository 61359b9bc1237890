#pragma once

#include "almondmill/claims/claim.h"

#include <string>
#include <variant>

namespace almondmill {

/// The call was certainly not sent: no byte of it reached an endpoint.
struct NeverSent
{
    std::string reason;
};

/// At least one byte may have been sent, and no complete response arrived.
struct MayHaveRun
{
    std::string reason;
};

/// Result of sending a call at most once.
using SendOutcome = std::variant<StoredAnswer, NeverSent, MayHaveRun>;

} // namespace almondmill
