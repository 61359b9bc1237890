#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <optional>

namespace almondmill {

/// Limits how often an object of the store is read when other routers report newer versions. The
/// first report is followed by a read at once. Reports in quick succession share one read per
/// interval, since each read returns the newest version.
class RefreshLimiter
{
public:
    explicit RefreshLimiter(std::chrono::milliseconds interval);

    /// Records a report. Returns the delay until a read that the caller must then make, or nothing
    /// when a read that is already due will return the reported version.
    std::optional<std::chrono::milliseconds> reported(SteadyTime now);

private:
    std::chrono::milliseconds m_interval;
    SteadyTime m_nextRead; ///< Time of the last read that was due.
    bool m_hasRead = false;
};

} // namespace almondmill
