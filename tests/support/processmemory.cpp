#include "support/processmemory.h"

#include <filesystem>
#include <fstream>
#include <string>

namespace almondmill::test {

namespace {

std::size_t statusBytes(pid_t process, const std::string &field)
{
    constexpr std::size_t BytesPerUnit = 1024; // The kernel's "kB".
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stoull(line.substr(field.size() + 1)) * BytesPerUnit;
    }
    return 0;
}

} // namespace

std::size_t peakMemoryOf(pid_t process)
{
    return statusBytes(process, "VmHWM");
}

std::size_t memoryOf(pid_t process)
{
    return statusBytes(process, "VmRSS");
}

std::size_t descriptorsOf(pid_t process)
{
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace almondmill::test
