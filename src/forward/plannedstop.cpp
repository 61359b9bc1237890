#include "almondmill/forward/plannedstop.h"

namespace almondmill {

namespace {

/// Requests that callers sent before the load balancer removed the router have arrived by then.
constexpr std::chrono::milliseconds LastArrivalDelay{3000};

} // namespace

PlannedStop::PlannedStop(SteadyTime startedAt, SteadyTime endsAt)
    : m_startedAt(startedAt)
    , m_endsAt(endsAt)
{}

bool PlannedStop::mustRefuse(SteadyTime deadline, SteadyTime now) const
{
    return now >= m_startedAt + LastArrivalDelay && deadline > m_endsAt;
}

} // namespace almondmill
