#include "almondmill/placement/lookupbudget.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr double BytesPerSecond = 1200;
constexpr std::chrono::milliseconds Burst{3000};
constexpr std::chrono::seconds Window{5};
constexpr double ShareSmoothing = 0.5;

} // namespace

bool LookupBudget::take(std::uint64_t key, double bytes, SteadyTime now)
{
    count(bytes, now);
    const double place = static_cast<double>(mixHash(key, 0) >> 11U) * 0x1.0p-53;
    return place < share() && m_limiter.take(bytes, BytesPerSecond, Burst, now);
}

void LookupBudget::count(double bytes, SteadyTime now)
{
    m_wanted.fetch_add(bytes, std::memory_order_relaxed);
    const SteadyTime::rep present = now.time_since_epoch().count();
    SteadyTime::rep start = m_windowStart.load(std::memory_order_relaxed);
    const SteadyTime::duration elapsed(present - start);
    if (elapsed < Window)
        return;
    if (!m_windowStart.compare_exchange_strong(start, present, std::memory_order_relaxed))
        return;
    const double wanted = m_wanted.exchange(0, std::memory_order_relaxed);
    if (elapsed > 2 * Window)
        return; // the first window, or one after a long pause, says nothing of the rate
    const double perSecond = wanted / std::chrono::duration<double>(elapsed).count();
    const double sufficient = std::min(1.0, BytesPerSecond / perSecond);
    m_share.store(share() + ShareSmoothing * (sufficient - share()), std::memory_order_relaxed);
}

} // namespace almondmill
