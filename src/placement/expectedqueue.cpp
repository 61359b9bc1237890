#include "almondmill/placement/expectedqueue.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr std::int64_t MeanWindowPlacements = 16;

SteadyTime::rep ticks(SteadyTime time)
{
    return time.time_since_epoch().count();
}

SteadyTime::rep ticks(ExpectedQueue::Duration duration)
{
    return std::chrono::duration_cast<SteadyTime::duration>(duration).count();
}

} // namespace

ExpectedQueue::Duration ExpectedQueue::meanWork() const
{
    return Duration(m_meanWorkUs.load(std::memory_order_relaxed));
}

void ExpectedQueue::add(Duration work, SteadyTime now)
{
    SteadyTime::rep busyUntil = m_busyUntil.load(std::memory_order_relaxed);
    while (!m_busyUntil.compare_exchange_weak(
            busyUntil, std::max(busyUntil, ticks(now)) + ticks(work), std::memory_order_relaxed)) {
    }
    const std::int64_t mean = m_meanWorkUs.load(std::memory_order_relaxed);
    m_meanWorkUs.store(mean + (work.count() - mean) / MeanWindowPlacements,
                       std::memory_order_relaxed);
    const std::uint32_t next = m_next.fetch_add(1, std::memory_order_relaxed);
    Placement &placement = (*m_placements)[next % RememberedPlacements];
    placement.work.store(work.count(), std::memory_order_relaxed);
    placement.time.store(ticks(now), std::memory_order_relaxed);
}

void ExpectedQueue::report(Duration queue, SteadyTime taken)
{
    Duration workSince{0};
    for (const Placement &placement : *m_placements) {
        if (placement.time.load(std::memory_order_relaxed) > ticks(taken))
            workSince += Duration(placement.work.load(std::memory_order_relaxed));
    }
    m_busyUntil.store(ticks(taken) + ticks(queue + workSince), std::memory_order_relaxed);
}

} // namespace almondmill
