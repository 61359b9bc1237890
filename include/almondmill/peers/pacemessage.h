#pragma once

#include "almondmill/forward/pacereport.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondmill {

/// The paces that a router's answers changed, broadcast to the others.
struct PaceMessage
{
    struct Entry
    {
        std::uint64_t endpoint = 0; ///< Hash of the incarnation.
        PaceReport report;
    };

    std::string origin; ///< Router that broadcasts the message.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< Increases with each broadcast of an incarnation.
    std::vector<Entry> entries;
};

/// Serializes a message to CBOR.
std::string encodePaces(const PaceMessage &message);

/// Parses a message; returns nothing when `bytes` is not such a message.
std::optional<PaceMessage> decodePaces(std::string_view bytes);

} // namespace almondmill
