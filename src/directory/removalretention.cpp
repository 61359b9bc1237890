#include "almondmill/directory/removalretention.h"

#include "almondmill/directory/registration.h"

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Time within which live endpoints renew entries that expired while the store was unreachable.
constexpr milliseconds EntryRenewalTime{2200};

} // namespace

void RemovalRetention::begin(const StoreOutage::Period &outage)
{
    m_outageBegin = outage.begin;
    m_until = outage.end + EntryRenewalTime;
    m_firstRevision.reset();
}

void RemovalRetention::follow(milliseconds timeLeft, SteadyTime now)
{
    const milliseconds left = std::min(timeLeft, EntryRenewalTime);
    if (now + left <= m_until)
        return;
    if (this->timeLeft(now).count() == 0) {
        m_outageBegin = now + left - EntryRenewalTime;
        m_firstRevision.reset();
    }
    m_until = now + left;
}

bool RemovalRetention::endIfAnswered(milliseconds answeringFor, SteadyTime now)
{
    if (timeLeft(now).count() == 0 || now - answeringFor >= m_outageBegin)
        return false;
    m_until = now;
    return true;
}

void RemovalRetention::recordRead(std::uint64_t revision)
{
    if (!m_firstRevision)
        m_firstRevision = revision;
}

bool RemovalRetention::retains(const Registration &entry, SteadyTime now) const
{
    return timeLeft(now).count() > 0 && (!m_firstRevision || entry.revision <= *m_firstRevision);
}

milliseconds RemovalRetention::timeLeft(SteadyTime now) const
{
    return std::max(std::chrono::ceil<milliseconds>(m_until - now), milliseconds(0));
}

} // namespace almondmill
