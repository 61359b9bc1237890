#include "almondmill/forward/streamcontinuity.h"

#include "almondmill/request/streamevent.h"

#include <algorithm>

namespace almondmill {

void StreamContinuity::resume(std::optional<std::uint64_t> lastId)
{
    m_lastId = lastId;
    m_repeatedId.reset();
    m_isResumed = true;
    m_isJoined = !lastId;
}

StreamContinuity::Verdict StreamContinuity::recordEvent(const StreamEvent &event)
{
    const Verdict verdict = m_isResumed ? verdictOn(event) : Verdict::Relay;
    if (verdict == Verdict::Repeat)
        m_repeatedId = std::max(m_repeatedId, event.id);
    if (verdict != Verdict::Relay)
        return verdict;
    if (event.id)
        recordId(*event.id);
    if (event.id || event.hasData)
        m_canResume = event.id.has_value();
    return verdict;
}

StreamContinuity::Verdict StreamContinuity::verdictOn(const StreamEvent &event) const
{
    if (event.id && m_lastId && *event.id <= *m_lastId)
        return Verdict::Repeat;
    if (event.id)
        return isNext(*event.id) ? Verdict::Relay : Verdict::Break;
    if (event.endOfStream && isBehind())
        return Verdict::Break;
    // Before the first id of this attempt, only what carries no piece of the stream can be placed.
    return m_isJoined || event.isControl || event.endOfStream ? Verdict::Relay : Verdict::Break;
}

bool StreamContinuity::isNext(std::uint64_t id) const
{
    return !m_hasSteps || !m_isConsecutive || isConsecutive(id);
}

bool StreamContinuity::isConsecutive(std::uint64_t id) const
{
    return !m_lastId || id == *m_lastId + 1;
}

void StreamContinuity::recordId(std::uint64_t id)
{
    m_hasSteps = m_hasSteps || (m_lastId && m_isJoined);
    m_isConsecutive = m_isConsecutive && isConsecutive(id);
    m_lastId = id;
    m_isJoined = true;
}

} // namespace almondmill
