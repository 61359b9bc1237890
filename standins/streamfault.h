#pragma once

#include <cstdint>
#include <string>

namespace almondmill::standin {

/// Fault that an engine stand-in injects into a stream.
enum class StreamFaultMode {
    None,
    Cut,       ///< Closes the connection.
    Stall,     ///< Stops sending and leaves the connection open.
    Silent,    ///< Computes, but sends nothing, not even the response head.
    Duplicate, ///< Sends each of the following events twice.
    Reorder,   ///< Sends one event after its successor.
    Skip,      ///< Omits one event.
    Crossed,   ///< Answers with the id and events of another attempt.
    Twice,     ///< Sends the complete answer a second time.
    Other,     ///< Sends different tokens from this event on.
};

/// Fault and the number of streams that it affects.
struct StreamFault
{
    StreamFaultMode mode = StreamFaultMode::None;
    std::uint32_t afterEvents = 0; ///< Events sent before the fault.
    std::uint32_t times = 0;       ///< Number of streams that it still affects.
    bool refuseResume = false;     ///< Whether requests to resume a stream get status 404.
};

/// Parses the lower-case name of a mode, such as "cut". Throws Error "standin.102".
StreamFaultMode parseStreamFaultMode(const std::string &text);

} // namespace almondmill::standin
