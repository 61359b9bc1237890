#pragma once

#include "almondmill/forward/answertiming.h"
#include "almondmill/kernel/time.h"

#include <optional>

namespace almondmill {

/// Takes the times of an attempt's answer.
class AnswerTimer
{
public:
    AnswerTimer(const ExpectedWork &work, SteadyTime sentAt);

    /// The first event of a stream, or the whole of another answer, arrived.
    void recordFirst(SteadyTime now);
    void recordEvents(std::uint32_t count) { m_timing.events += count; }

    /// Times of the answer that ended at `now`; empty when nothing of it arrived.
    std::optional<AnswerTiming> timingAt(SteadyTime now) const;

private:
    AnswerTiming m_timing;
    SteadyTime m_sentAt;
    std::optional<SteadyTime> m_firstAt;
};

} // namespace almondmill
