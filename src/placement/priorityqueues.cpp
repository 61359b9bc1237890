#include "almondmill/placement/priorityqueues.h"

#include <algorithm>

namespace almondmill {

namespace {
constexpr float ShareSmoothing = 0.0625F;
constexpr double LowWaitWeight = 0.1;
} // namespace

PriorityQueues::Duration PriorityQueues::at(Priority priority, SteadyTime now) const
{
    const Duration all = m_all.at(now);
    if (priority == Priority::Low)
        return all;
    const Duration high = m_high.at(now);
    const auto lowWait = static_cast<double>(std::max(all - high, Duration{0}).count());
    return high + Duration(static_cast<std::int64_t>(lowWait * LowWaitWeight));
}

void PriorityQueues::add(Duration work, Priority priority, SteadyTime now)
{
    const bool high = priority == Priority::High;
    m_all.add(work, now);
    if (high)
        m_high.add(work, now);
    const float share = m_highShare.load(std::memory_order_relaxed);
    m_highShare.store(share + ShareSmoothing * ((high ? 1.0F : 0.0F) - share),
                      std::memory_order_relaxed);
}

void PriorityQueues::report(std::uint32_t waiting, std::optional<std::uint32_t> waitingHigh,
                            SteadyTime taken)
{
    const Duration work = m_all.meanWork();
    const auto guessed = static_cast<float>(waiting) * m_highShare.load(std::memory_order_relaxed);
    const auto high = waitingHigh ? static_cast<double>(*waitingHigh) : static_cast<double>(guessed);
    m_all.report(waiting * work, taken);
    m_high.report(Duration(static_cast<std::int64_t>(high * static_cast<double>(work.count()))),
                  taken);
}

} // namespace almondmill
