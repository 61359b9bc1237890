#pragma once

#include "almondmill/observe/eventline.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace almondmill {

/// Structured log on standard output: one line of key=value fields for each event. Writing never
/// blocks: lines wait in a bounded buffer until `flush`, and those that find it full are dropped
/// and counted. Safe from several threads.
class EventLog
{
public:
    /// `descriptor` is set to non-blocking where it is a pipe or a socket.
    explicit EventLog(int descriptor);

    /// Takes a line, with its end, into the buffer.
    void write(std::string_view line);

    /// Writes out what the descriptor takes at once.
    void flush();

    std::uint64_t dropped() const;

private:
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reportedDropped = 0;
};

/// The log of this process.
EventLog &eventLog();

} // namespace almondmill
