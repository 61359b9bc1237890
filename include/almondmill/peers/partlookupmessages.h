#pragma once

#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

/// Asks an owner of a prompt part for its location.
struct PartLookupRequest
{
    std::uint32_t id = 0; ///< Chosen by the asking router and repeated in the reply.
    PartKey part = 0;
};

/// An owner's answer. Times are sent relative to the time of encoding, since routers share no
/// clock.
struct PartLookupReply
{
    std::uint32_t id = 0;
    PartKey part = 0;
    std::optional<PartLocations::Location> location; ///< Empty when the owner knows of none.
};

/// Serializes a message to CBOR.
std::string encodePartLookup(const PartLookupRequest &request);
std::string encodePartLookup(const PartLookupReply &reply, SteadyTime now);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<PartLookupRequest> decodePartLookupRequest(std::string_view bytes);
std::optional<PartLookupReply> decodePartLookupReply(std::string_view bytes, SteadyTime now);

} // namespace almondmill
