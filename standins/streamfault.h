#pragma once

#include <cstdint>
#include <string>

namespace almondmill::standin {

/// What an engine stand-in does wrong in streams.
enum class StreamFaultMode {
    None,
    Cut,       ///< Closes the connection.
    Stall,     ///< Sends nothing more on the connection and leaves it open.
    Silent,    ///< Computes, and sends not even a head.
    Duplicate, ///< Sends each event twice from there on.
    Reorder,   ///< Sends an event and the next one in the wrong order.
    Skip,      ///< Leaves an event out.
    Crossed,   ///< Answers with the id and the events of another attempt.
    Twice,     ///< Sends the whole answer a second time after its end.
    Other,     ///< Sends other tokens from there on.
};

/// A fault, and how many streams it befalls.
struct StreamFault
{
    StreamFaultMode mode = StreamFaultMode::None;
    std::uint32_t afterEvents = 0; ///< Events sent before it.
    std::uint32_t times = 0;       ///< Streams it still befalls.
    bool refuseResume = false;     ///< Whether streams can't be resumed.
};

/// Parses the lower-case name of a mode, such as "cut". Throws Error "standin.102".
StreamFaultMode parseStreamFaultMode(const std::string &text);

} // namespace almondmill::standin
