#include "almondmill/forward/answertimer.h"

namespace almondmill {

AnswerTimer::AnswerTimer(const ExpectedWork &work, SteadyTime sentAt)
    : m_sentAt(sentAt)
{
    m_timing.work = work;
}

void AnswerTimer::recordFirst(SteadyTime now)
{
    if (!m_firstAt)
        m_firstAt = now;
}

std::optional<AnswerTiming> AnswerTimer::timingAt(SteadyTime now) const
{
    if (!m_firstAt)
        return std::nullopt;
    AnswerTiming timing = m_timing;
    timing.toFirstEvent = *m_firstAt - m_sentAt;
    timing.toEnd = now - *m_firstAt;
    return timing;
}

} // namespace almondmill
