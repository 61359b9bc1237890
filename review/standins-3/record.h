#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// The record of a run: one line for each event, with the milliseconds since the start. Safe for
/// concurrent calls.
class Record
{
public:
    /// Writes to `file`, which is emptied.
    explicit Record(const std::string &file);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::chrono::steady_clock::time_point m_startedAt;
};

} // namespace review
