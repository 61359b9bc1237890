#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// A planned stop of the router, from the signal to the end of the process.
class PlannedStop
{
public:
    PlannedStop(SteadyTime startedAt, SteadyTime endsAt);

    /// When the process ends, whether or not all requests are finished.
    SteadyTime endsAt() const { return m_endsAt; }

    /// Whether a request that arrives at `now` must be refused: the process may end before the
    /// request's deadline, and callers have had time to go to another router.
    bool mustRefuse(SteadyTime deadline, SteadyTime now) const;

private:
    SteadyTime m_startedAt;
    SteadyTime m_endsAt;
};

} // namespace almondmill
