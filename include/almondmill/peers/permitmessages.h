#pragma once

#include "almondmill/forward/ratelimits.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace almondmill {

/// Asks the issuer of an endpoint's permits for one.
struct PermitRequest
{
    std::uint32_t id = 0; ///< Chosen by the asking router and repeated in the reply.
    std::chrono::milliseconds maxWait{0}; ///< The permit has to be usable within this time.
    RateLimitReport known;                ///< What the asking router knows of the limit.
};

/// The permit is issued.
struct PermitGranted
{
    std::chrono::milliseconds usableIn{0};
};

/// There is no permit in time.
struct PermitDenied
{
    std::chrono::milliseconds askAgainIn{0};
};

/// This router issues no permits for the endpoint, because it shuts down or ranks behind others.
struct NotIssuer
{};

using PermitResult = std::variant<PermitGranted, PermitDenied, NotIssuer>;

/// The answer to a request for a permit.
struct PermitReply
{
    std::uint32_t id = 0;
    PermitResult result;
    RateLimitReport known; ///< What the issuer knows of the limit.
};

/// Puts a permit back that was not used.
struct PermitReturn
{
    std::uint64_t endpoint = 0; ///< See incarnationHash.
};

/// Serializes a message to CBOR. Times are sent relative to `bootNow`, since routers share no
/// clock.
std::string encodePermit(const PermitRequest &request, SteadyTime bootNow);
std::string encodePermit(const PermitReply &reply, SteadyTime bootNow);
std::string encodePermit(const PermitReturn &returned);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<PermitRequest> decodePermitRequest(std::string_view bytes, SteadyTime bootNow);
std::optional<PermitReply> decodePermitReply(std::string_view bytes, SteadyTime bootNow);
std::optional<PermitReturn> decodePermitReturn(std::string_view bytes);

} // namespace almondmill
