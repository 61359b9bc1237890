#pragma once

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include <unistd.h>

namespace review {

// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// Whether the case plays its disruption; TROUBLE=0 leaves it out.
inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string_view(text) != "0";
}

/// The first three bytes of loopback addresses that this process takes for itself.
inline std::string loopbackNetwork()
{
    const int process = getpid();
    return "127." + std::to_string(96 + process / 256 % 64) + "." + std::to_string(process % 256);
}

/// A folder for settings and logs, removed with what is in it.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        m_path = mkdtemp(pattern.data()) ? pattern : std::string();
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Waits until the condition holds; returns false if it doesn't within the timeout.
inline bool waitUntil(const std::function<bool()> &condition, std::chrono::milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

/// Milliseconds of the Unix clock, as servers state their start.
inline long long unixMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

} // namespace review
