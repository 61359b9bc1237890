#include "almondmill/placement/priorityqueues.h"

namespace almondmill {

namespace {
constexpr float ShareSmoothing = 0.0625F;
} // namespace

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
    const auto estimatedHigh =
            static_cast<float>(waiting) * m_highShare.load(std::memory_order_relaxed);
    const auto high =
            waitingHigh ? static_cast<double>(*waitingHigh) : static_cast<double>(estimatedHigh);
    m_all.report(waiting * work, taken);
    m_high.report(Duration(static_cast<std::int64_t>(high * static_cast<double>(work.count()))),
                  taken);
}

} // namespace almondmill
