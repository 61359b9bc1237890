#include "almondmill/directory/reportedversion.h"

#include <chrono>
#include <utility>

namespace almondmill {

namespace {

/// Time after which a version that the store lacked is read again when it is still reported.
constexpr std::chrono::milliseconds MissingRetention{5000};

} // namespace

bool ReportedVersion::record(std::uint64_t version, SteadyTime now)
{
    if (version == m_missing && now < m_missingUntil)
        return false;
    if (version > m_version) {
        m_version = version;
        m_reportedAt = now;
    }
    return true;
}

std::optional<std::uint64_t> ReportedVersion::recordRead(std::uint64_t inForce, SteadyTime sentAt,
                                                         SteadyTime now)
{
    if (!isAwaited(inForce) || sentAt <= m_reportedAt)
        return std::nullopt;
    m_missing = std::exchange(m_version, 0);
    m_missingUntil = now + MissingRetention;
    return m_missing;
}

} // namespace almondmill
