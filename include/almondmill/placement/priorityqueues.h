#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/placement/expectedqueue.h"

#include <cstdint>
#include <optional>

namespace almondmill {

/// The expected waits at an engine that serves high priority first: high priority waits for its
/// own work only, low priority for all. Safe to use from several threads, lock-free.
class PriorityQueues
{
public:
    using Duration = ExpectedQueue::Duration;

    /// What placing a request of the priority costs in time at `now`: its own wait, and for high
    /// priority a part of the longer wait that it causes to low.
    Duration at(Priority priority, SteadyTime now) const
    {
        const Duration all = m_all.at(now);
        if (priority == Priority::Low)
            return all;
        const Duration high = m_high.at(now);
        return all > high ? high + (all - high) / LowWaitDivisor : high;
    }

    /// Mean work of the placements so far.
    Duration meanWork() const { return m_all.meanWork(); }

    /// Adds work that this router placed, or advised to place, at `now`.
    void add(Duration work, Priority priority, SteadyTime now);

    /// Takes in a report: requests that waited at `taken`, and those of high priority among them
    /// where the engine tells; else the share that this router places is taken.
    void report(std::uint32_t waiting, std::optional<std::uint32_t> waitingHigh, SteadyTime taken);

private:
    static constexpr int LowWaitDivisor = 10;

    ExpectedQueue m_high;
    ExpectedQueue m_all;
    std::atomic<float> m_highShare{0.5F};
};

} // namespace almondmill
