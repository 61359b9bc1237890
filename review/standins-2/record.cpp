#include "record.h"

#include <iomanip>

namespace review {

Record::Record(const std::string &file)
    : m_file(file)
{}

void Record::write(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << now() << "  " << line
           << std::endl;
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_startedAt).count();
}

} // namespace review
