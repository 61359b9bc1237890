#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/placement/expectedqueue.h"

#include <cstdint>
#include <optional>

namespace almondmill {

/// Expected waits at an engine that serves high priority first: high-priority work waits for other
/// high-priority work only, low-priority work waits for all work. Thread-safe and lock-free.
class PriorityQueues
{
public:
    using Duration = ExpectedQueue::Duration;

    /// Time that placing a request of the priority at `now` costs: its own wait, and for high
    /// priority also a fraction of the low-priority work that it delays.
    Duration at(Priority priority, SteadyTime now) const
    {
        const Duration all = m_all.at(now);
        if (priority == Priority::Low)
            return all;
        const Duration high = m_high.at(now);
        return all > high ? high + (all - high) / LowWaitDivisor : high;
    }

    /// Moving mean of the work per placement.
    Duration meanWork() const { return m_all.meanWork(); }

    /// Adds work that this router placed, or advised another router to place, at `now`.
    void add(Duration work, Priority priority, SteadyTime now);

    /// Applies a report of the requests that waited at `taken`, and of those among them with high
    /// priority. If the engine does not report the latter, their number is estimated from the
    /// share of high priority in this router's placements.
    void report(std::uint32_t waiting, std::optional<std::uint32_t> waitingHigh, SteadyTime taken);

private:
    static constexpr int LowWaitDivisor = 10;

    ExpectedQueue m_high;
    ExpectedQueue m_all;
    std::atomic<float> m_highShare{0.5F};
};

} // namespace almondmill
