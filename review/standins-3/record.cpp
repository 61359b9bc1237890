#include "record.h"

#include <iomanip>

namespace review {

Record::Record(const std::string &file)
    : m_file(file)
    , m_startedAt(std::chrono::steady_clock::now())
{}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - m_startedAt);
    m_file << std::setw(6) << passed.count() << " ms  " << line << std::endl;
}

} // namespace review
