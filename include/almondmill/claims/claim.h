#pragma once

#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondmill {

/// The answer of a call, stored for later calls with the same key.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::vector<HttpHeader> headers; ///< Headers that are forwarded to the caller.
    std::string endpoint;            ///< Name of the endpoint that answered.
    std::string body;
    bool bodyKept = true; ///< False when the body was too large to store.
};

/// Progress of a claimed call.
enum class ClaimState {
    Sending,  ///< Initial state: the holder may have sent the call.
    Released, ///< The holder did not send the call and will not send it under this claim.
    Unknown,  ///< The call was sent, and no complete response arrived.
    Done,     ///< The answer is stored.
};

/// The claim of a call that must run at most once, as stored in the object API. Only the process
/// that created the claim may send the call, and only once.
struct Claim
{
    std::string id;          ///< Unique for each claim.
    std::string fingerprint; ///< Hash of the caller's request.
    std::string holder;      ///< Name of the router.
    std::uint64_t incarnation = 0;
    WallTime created;
    ClaimState state = ClaimState::Sending;
    std::optional<StoredAnswer> answer;
};

} // namespace almondmill
