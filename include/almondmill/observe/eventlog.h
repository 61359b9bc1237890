#pragma once

#include "almondmill/observe/eventline.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace almondmill {

/// Structured log with one line of key=value fields for each event. `write` never blocks on output:
/// lines stay in a bounded buffer until `flush`. Lines that do not fit into the buffer are dropped
/// and counted. Thread-safe.
class EventLog
{
public:
    /// Sets `descriptor` to non-blocking mode if it is a pipe or a socket.
    explicit EventLog(int descriptor);

    /// Appends a line, which includes its newline, to the buffer.
    void write(std::string_view line);

    /// Writes buffered lines until the buffer is empty or the descriptor accepts no more. Lines
    /// that were dropped since the last flush are reported as an event "log.dropped".
    void flush();

    /// Number of lines dropped since the start.
    std::uint64_t droppedLines() const;

private:
    const int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

/// Returns the log of this process, which writes to standard output.
EventLog &eventLog();

} // namespace almondmill
