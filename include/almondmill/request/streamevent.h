#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// One whole server-sent event, as it came.
struct StreamEvent
{
    std::string bytes;               ///< With the empty line that ends it.
    std::optional<std::uint64_t> id; ///< From its `id:` line, when that is a number.
    bool hasData = false;            ///< False for a comment, which keeps a connection alive.
    bool endOfStream = false;        ///< The explicit end, `data: [DONE]`.
};

/// Reads the lines of a whole event.
StreamEvent parseStreamEvent(std::string bytes);

} // namespace almondmill
