#pragma once

#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// The answer of a call, kept for later calls with the same key.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::vector<HttpHeader> headers; ///< Those that go through to the caller.
    std::string endpoint;            ///< Name of the endpoint that gave it.
    std::string body;
    bool bodyKept = true; ///< False when the body was too large to keep.
};

/// How far a claimed call came.
enum class ClaimState {
    Sending,  ///< From its creation on: the holder may have sent the call.
    Released, ///< By the holder's word the call was never sent and never will be under this claim.
    Unknown,  ///< The call was sent, and no whole answer came.
    Done,     ///< The answer is kept.
};

/// A claim of one call that may not be repeated, as the object API holds it. Whoever created it,
/// and nobody else, may send the call, once.
struct Claim
{
    std::string id;          ///< Fresh for each claim.
    std::string fingerprint; ///< Hash of what the caller asked for.
    std::string holder;      ///< Name of the router.
    std::uint64_t incarnation = 0;
    WallTime created;
    ClaimState state = ClaimState::Sending;
    std::optional<StoredAnswer> answer;
};

} // namespace almondmill
