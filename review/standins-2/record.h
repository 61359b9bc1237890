#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

/// The file that says what was sent, answered and run, one line each, with the seconds since the
/// start in front.
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);

    /// Seconds since the start.
    double now() const;

private:
    Clock::time_point m_startedAt = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
