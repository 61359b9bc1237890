#pragma once

#include "almondmill/claims/claim.h"

#include <cstdint>
#include <string>
#include <variant>

namespace almondmill {

/// This process holds the claim and may send the call, once.
struct ClaimHeld
{
    Claim claim;
    std::uint64_t version = 0; ///< Of the claim object.
};

/// The call was answered before.
struct ClaimAnswered
{
    StoredAnswer answer;
};

/// The call is at an endpoint at this moment, or its holder died a short while ago.
struct ClaimInProgress
{};

/// The call may have run, and its answer will never be known.
struct ClaimLost
{};

/// The key was used before for another call.
struct ClaimMismatch
{};

/// The store can't be asked; this process holds no claim that it will send under.
struct ClaimUnavailable
{
    std::string reason;
    bool mayAppear = false; ///< Whether the claim asked for may stand, or may yet come to stand.
};

using ClaimDecision = std::variant<ClaimHeld, ClaimAnswered, ClaimInProgress, ClaimLost,
                                   ClaimMismatch, ClaimUnavailable>;

} // namespace almondmill
