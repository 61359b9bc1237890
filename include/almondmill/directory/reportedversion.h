#pragma once

#include "almondmill/kernel/time.h"

#include <cstdint>
#include <optional>

namespace almondmill {

/// The newest version of an object that other routers report as in force, until this router has it
/// too. Only a read that was sent after a report shows whether the store has that version.
class ReportedVersion
{
public:
    /// Records a report. Returns whether the store is to be read for it: a version that the store
    /// turned out to lack is not read again for a while.
    bool record(std::uint64_t version, SteadyTime now);

    /// Whether a version that is newer than `inForce` was reported and has not been read.
    bool isAwaited(std::uint64_t inForce) const { return m_version > inForce; }

    /// Records that a current read which was sent at `sentAt` was applied, and `inForce` is in
    /// force. Returns the reported version if the store lacks it.
    std::optional<std::uint64_t> recordRead(std::uint64_t inForce, SteadyTime sentAt,
                                            SteadyTime now);

private:
    std::uint64_t m_version = 0;
    SteadyTime m_reportedAt;     ///< First report of that version.
    std::uint64_t m_missing = 0; ///< Reported version that the store lacked.
    SteadyTime m_missingUntil;
};

} // namespace almondmill
