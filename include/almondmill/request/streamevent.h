#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// One complete server-sent event, byte for byte as received.
struct StreamEvent
{
    std::string bytes;               ///< Including the empty line that ends it.
    std::optional<std::uint64_t> id; ///< Value of its `id:` line, if that is a number.
    bool hasData = false;            ///< False for comments, which serve as keep-alive.
    bool isControl = true;           ///< Only comments and the fields `event` and `retry`.
    bool endOfStream = false;        ///< The event is the end marker, `data: [DONE]`.
};

/// Parses a complete event.
StreamEvent parseStreamEvent(std::string bytes);

} // namespace almondmill
