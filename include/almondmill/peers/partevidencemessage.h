#pragma once

#include "almondmill/forward/partevidence.h"
#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// Evidence against prompt parts that one router sends to others.
struct PartEvidenceMessage
{
    std::string origin; ///< Router that broadcasts the message; empty when it is not forwarded.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each broadcast of an incarnation.
    std::vector<PartEvidence> evidence;
};

/// Serializes a message to CBOR. Times are sent relative to `now`, since routers share no clock.
std::string encodePartEvidence(const PartEvidenceMessage &message, SteadyTime now);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<PartEvidenceMessage> decodePartEvidence(std::string_view bytes, SteadyTime now);

} // namespace almondmill
