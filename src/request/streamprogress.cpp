#include "almondmill/request/streamprogress.h"

#include "almondmill/kernel/hash.h"
#include "almondmill/request/streamevent.h"

namespace almondmill {

void StreamProgress::restartComputation()
{
    m_seen = 0;
    m_seenHash = 0;
}

EventVerdict StreamProgress::recordEvent(const StreamEvent &event)
{
    if (m_complete)
        return EventVerdict::Duplicate;
    if (!event.hasData && !event.id && !event.isControl)
        return EventVerdict::Gap;
    if (!event.hasData && !event.id)
        return m_seen < m_relayed ? EventVerdict::Replayed : EventVerdict::Relay;
    m_numbered = m_numbered && event.id.has_value();
    const std::uint64_t number = event.id.value_or(m_seen + 1);
    if (number <= m_seen)
        return EventVerdict::Duplicate;
    if (number > m_seen + 1)
        return EventVerdict::Gap;
    m_seen = number;
    m_seenHash = hash64(event.bytes, m_seenHash);
    if (m_seen <= m_relayed)
        return checkReplayed(event);
    m_relayed = m_seen;
    m_relayedHash = m_seenHash;
    m_complete = event.endOfStream;
    return EventVerdict::Relay;
}

EventVerdict StreamProgress::checkReplayed(const StreamEvent &event) const
{
    const bool differs = m_seen == m_relayed && m_seenHash != m_relayedHash;
    return differs || event.endOfStream ? EventVerdict::Mismatch : EventVerdict::Replayed;
}

} // namespace almondmill
