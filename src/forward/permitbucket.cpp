#include "almondmill/forward/permitbucket.h"

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Routers that are invited for each permit. More than one, because a router may have no request
/// when its time comes.
constexpr int InvitationsPerPermit = 3;

SteadyTime::duration intervalOf(double perSecond)
{
    return std::chrono::duration_cast<SteadyTime::duration>(
            std::chrono::duration<double>(1 / perSecond));
}

} // namespace

PermitBucket::PermitBucket(SteadyTime now)
    : m_startedAt(now)
    , m_nextAt(now)
    , m_lastInvitation(now)
{}

std::optional<milliseconds> PermitBucket::take(double perSecond, milliseconds maxWait,
                                               SteadyTime now)
{
    setRate(std::max(perSecond, MinPerSecond), now);
    const SteadyTime::duration saved =
            std::max<SteadyTime::duration>(BurstTime - m_interval, SteadyTime::duration::zero());
    m_nextAt = std::max(m_nextAt, now - saved);
    const auto wait = std::max(std::chrono::ceil<milliseconds>(m_nextAt - now), milliseconds(0));
    if (wait > maxWait)
        return std::nullopt;
    m_nextAt += m_interval;
    return wait;
}

void PermitBucket::giveBack()
{
    m_nextAt -= m_interval;
}

milliseconds PermitBucket::nextInvitation(milliseconds longest, SteadyTime now)
{
    m_lastInvitation = std::max(m_lastInvitation + m_interval / InvitationsPerPermit, m_nextAt);
    m_lastInvitation = std::clamp(m_lastInvitation, now, now + longest);
    return std::chrono::ceil<milliseconds>(m_lastInvitation - now);
}

void PermitBucket::setRate(double perSecond, SteadyTime now)
{
    const SteadyTime::duration interval = intervalOf(perSecond);
    if (interval == m_interval)
        return;
    if (m_interval == SteadyTime::duration::zero()) {
        m_nextAt = m_startedAt + interval;
    } else if (m_nextAt > now) {
        // The permits that were issued ahead of time keep their number.
        const double issuedAhead = std::chrono::duration<double>(m_nextAt - now)
                                   / std::chrono::duration<double>(m_interval);
        m_nextAt = now
                   + std::chrono::duration_cast<SteadyTime::duration>(
                           std::chrono::duration<double>(interval) * issuedAhead);
    }
    m_interval = interval;
}

} // namespace almondmill
