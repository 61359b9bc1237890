#include "machine.h"

#include "crowd.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr long KilobytesPerMb = 1024;
constexpr milliseconds RestartDelay{1000};
constexpr milliseconds WatchInterval{1};

/// Anonymous memory of a process, in kB; 0 if it doesn't run.
long anonymousMemory(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("RssAnon:", 0) != 0)
            continue;
        std::istringstream fields(line.substr(line.find(':') + 1));
        long kilobytes = 0;
        fields >> kilobytes;
        return kilobytes;
    }
    return 0;
}

} // namespace

Machine::Machine(RouterPlace place, std::string folder, Counts counts, Record &record)
    : m_place(std::move(place))
    , m_folder(std::move(folder))
    , m_counts(counts)
    , m_record(record)
    , m_router(std::make_unique<Router>(m_place, m_folder, m_place.name))
    , m_watch([this] { watch(); })
{}

Machine::~Machine()
{
    m_stopped = true;
    m_watch.join();
}

bool Machine::isReady()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_router && m_router->isReady();
}

long Machine::kilobytes() const
{
    const long own = anonymousMemory(m_router->process());
    if (m_counts == Counts::Own)
        return own;
    return own + static_cast<long>(unreadBytes(m_place.ip, Router::CallerPort) / KilobytesPerMb);
}

void Machine::watch()
{
    while (!m_stopped) {
        std::this_thread::sleep_for(WatchInterval);
        const long seen = kilobytes();
        m_most = std::max(m_most.load(), seen);
        if (seen <= MemoryMb * KilobytesPerMb)
            continue;
        ++m_ends;
        m_record.write(m_place.name + " takes " + std::to_string(seen)
                       + " kB; the platform kills it");
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_router.reset();
        std::this_thread::sleep_for(RestartDelay);
        m_router = std::make_unique<Router>(m_place, m_folder, m_place.name);
    }
}

} // namespace review
