#include "almondmill/observe/eventlog.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace almondmill {

namespace {

/// Holds about 500 lines, which a busy router writes within a few seconds.
constexpr std::size_t MaxBufferedBytes = 128U << 10U;

void makeNonBlocking(int descriptor)
{
    struct stat status
    {};
    if (::fstat(descriptor, &status) != 0)
        return;
    // Writes to a regular file do not block for long. A terminal is shared with the shell, which
    // would see the non-blocking mode as well.
    if (!S_ISFIFO(status.st_mode) && !S_ISSOCK(status.st_mode))
        return;
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        (void)::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

} // namespace

EventLog::EventLog(int descriptor)
    : m_descriptor(descriptor)
{
    makeNonBlocking(descriptor);
}

void EventLog::write(std::string_view line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_buffer.size() + line.size() > MaxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer += line;
}

void EventLog::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_droppedLines != m_reportedDroppedLines) {
        m_buffer += "event=log.dropped lines="
                    + std::to_string(m_droppedLines - m_reportedDroppedLines) + "\n";
        m_reportedDroppedLines = m_droppedLines;
    }
    while (!m_buffer.empty()) {
        const auto written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0)
            return; // The descriptor is full or closed; the rest stays in the buffer.
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t EventLog::droppedLines() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_droppedLines;
}

EventLog &eventLog()
{
    // Never destroyed, because threads may log until the process ends.
    static auto *instance = new EventLog(STDOUT_FILENO);
    return *instance;
}

} // namespace almondmill
