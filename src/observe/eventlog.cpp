#include "almondmill/observe/eventlog.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace almondmill {

namespace {

/// About 500 lines: some seconds of a busy router.
constexpr std::size_t MostBufferedBytes = 128U << 10U;

void makeNonBlocking(int descriptor)
{
    struct stat status
    {};
    if (::fstat(descriptor, &status) != 0)
        return;
    // A regular file never blocks for long, and a terminal is shared with the shell.
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
    if (m_buffer.size() + line.size() > MostBufferedBytes) {
        ++m_dropped;
        return;
    }
    m_buffer += line;
}

void EventLog::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_dropped != m_reportedDropped) {
        m_buffer +=
                "event=log.dropped lines=" + std::to_string(m_dropped - m_reportedDropped) + "\n";
        m_reportedDropped = m_dropped;
    }
    while (!m_buffer.empty()) {
        const auto written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0)
            return; // Full or closed: the rest waits, within the bound.
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

std::uint64_t EventLog::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

EventLog &eventLog()
{
    // Never destroyed: threads may log until the process ends.
    static auto *instance = new EventLog(STDOUT_FILENO);
    return *instance;
}

} // namespace almondmill
