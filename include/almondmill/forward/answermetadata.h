#pragma once

#include "almondmill/forward/ratelimitfield.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// Metadata decoded from the head of an endpoint's answer.
struct AnswerMetadata
{
    unsigned status = 0;
    std::string requestId;  ///< Request that this answers; empty when the answer names none.
    std::string endpointId; ///< Endpoint that answered; empty when it does not identify itself.
    bool isSigned = false;  ///< The answer carries the endpoint's signature.
    /// The head names several requests or signatures, as when two answers run into each other.
    bool isAmbiguous = false;
    bool notExecuted = false; ///< The endpoint states that it did not run the request.
    /// The endpoint refused because its incarnation or weights version is not the expected one.
    bool isMisdirected = false;
    bool isLeaving = false; ///< The endpoint states that it shuts down.
    /// How long the endpoint wants no requests; empty when it states no usable time.
    std::optional<std::chrono::milliseconds> retryAfter;
    RateLimitField rateLimit;
    bool closesConnection = false; ///< The endpoint closes the connection after this answer.
    bool mayBeEventStream = true;  ///< The content type is that of an event stream, or missing.
    std::optional<std::chrono::milliseconds> keepAlive; ///< The endpoint's idle timeout.
    std::optional<std::uint64_t> weightsVersion;
};

} // namespace almondmill
