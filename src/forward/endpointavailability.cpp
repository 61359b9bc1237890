#include "almondmill/forward/endpointavailability.h"

#include <algorithm>
#include <limits>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

struct StateName
{
    const char *operator()(const Available &) const { return "available"; }
    const char *operator()(const Resuming &) const { return "resuming"; }
    const char *operator()(const Paused &) const { return "paused"; }
    const char *operator()(const Leaving &) const { return "leaving"; }
};

} // namespace

const char *nameOf(const Availability &availability)
{
    return std::visit(StateName(), availability);
}

bool EndpointAvailability::recordLeaving(SteadyTime now)
{
    if (m_leavingSince)
        return false;
    m_leavingSince = now;
    return true;
}

bool EndpointAvailability::recordPause(milliseconds length, SteadyTime now)
{
    if (length <= milliseconds(0))
        return false;
    const SteadyTime until = now + std::min<milliseconds>(length, MaxPause);
    const bool begins = !m_pausedUntil || *m_pausedUntil <= now;
    if (begins) {
        m_withheldBeforePause = m_withheld;
        m_isPauseReported = false;
    }
    m_openAtResume.reset();
    if (begins)
        m_pace.begin(PaceCause::Pause, until);
    else if (until > *m_pausedUntil)
        m_pace.postpone(until);
    m_pausedUntil = begins ? until : std::max(*m_pausedUntil, until);
    return begins;
}

void EndpointAvailability::recordOpenRequests(std::uint32_t openRequests, SteadyTime now)
{
    if (!m_pace.isInForce(now))
        m_openAtResume.reset();
    else if (!m_openAtResume && (!m_pausedUntil || now >= *m_pausedUntil))
        m_openAtResume = openRequests;
}

Availability EndpointAvailability::stateAt(SteadyTime now,
                                           std::optional<std::uint32_t> paceBound) const
{
    if (m_pausedUntil && now < *m_pausedUntil)
        return Paused{*m_pausedUntil};
    if (m_leavingSince)
        return Leaving{*m_leavingSince};
    if (!m_pace.isInForce(now))
        return Available{};
    constexpr std::uint64_t MaxBound = std::numeric_limits<std::uint32_t>::max();
    const std::uint64_t bound =
            std::uint64_t(m_openAtResume.value_or(0)) + paceBound.value_or(m_pace.limitAt(now));
    return Resuming{static_cast<std::uint32_t>(std::min(bound, MaxBound)), m_pace.nextStepAt(now)};
}

bool EndpointAvailability::isPastDrainDeadline(milliseconds drainDeadline, SteadyTime now) const
{
    return m_leavingSince && now >= *m_leavingSince + drainDeadline;
}

std::optional<std::uint64_t> EndpointAvailability::takeEndedPause(SteadyTime now)
{
    if (m_isPauseReported || !m_pausedUntil || now < *m_pausedUntil)
        return std::nullopt;
    m_isPauseReported = true;
    return m_withheld - m_withheldBeforePause;
}

} // namespace almondmill
