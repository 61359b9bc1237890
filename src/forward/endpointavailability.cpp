#include "almondmill/forward/endpointavailability.h"

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Time after which the bound on open requests doubles.
constexpr milliseconds ResumeStep{250};

/// Open requests allowed directly after a pause.
constexpr std::uint32_t InitialOpenRequests = 2;

} // namespace

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
    m_pausedUntil = begins ? until : std::max(*m_pausedUntil, until);
    return begins;
}

Availability EndpointAvailability::stateAt(SteadyTime now) const
{
    if (m_leavingSince)
        return Leaving{*m_leavingSince};
    if (!m_pausedUntil)
        return Available{};
    if (now < *m_pausedUntil)
        return Paused{*m_pausedUntil};
    const auto elapsed = now - *m_pausedUntil;
    if (elapsed >= ResumeTime)
        return Available{};
    const auto step = elapsed / ResumeStep;
    return Resuming{InitialOpenRequests << step, *m_pausedUntil + ResumeStep * (step + 1)};
}

std::optional<std::uint64_t> EndpointAvailability::takeEndedPause(SteadyTime now)
{
    if (m_isPauseReported || !m_pausedUntil || now < *m_pausedUntil)
        return std::nullopt;
    m_isPauseReported = true;
    return m_withheld - m_withheldBeforePause;
}

} // namespace almondmill
