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
    std::uint64_t version = 0; ///< Version of the claim object.
};

/// An earlier call with the key was answered.
struct ClaimAnswered
{
    StoredAnswer answer;
};

/// The call may be in flight: the claim is not older than the longest duration of a call. Its
/// holder may also have died within that time.
struct ClaimInProgress
{};

/// The call may have run, and its answer is not stored.
struct ClaimOutcomeUnknown
{};

/// The key was used earlier for a different call.
struct ClaimMismatch
{};

/// The claim could not be read or written. This process holds no claim and does not send the call.
struct ClaimUnavailable
{
    std::string reason;

    /// Whether the requested claim may exist, or may still be created by a delayed write.
    bool mayExist = false;
};

using ClaimDecision = std::variant<ClaimHeld, ClaimAnswered, ClaimInProgress, ClaimOutcomeUnknown,
                                   ClaimMismatch, ClaimUnavailable>;

} // namespace almondmill
