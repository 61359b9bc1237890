#include "almondmill/placement/lookupbudget.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

constexpr double BytesPerSecond = 1200;
constexpr std::chrono::milliseconds BurstWindow{3000};
constexpr std::chrono::seconds RateWindow{5};
constexpr double ShareSmoothing = 0.5;

} // namespace

bool LookupBudget::take(std::uint64_t key, double bytes, SteadyTime now)
{
    count(bytes, now);
    const double position = static_cast<double>(mixHash(key, 0) >> 11U) * 0x1.0p-53;
    return position < share() && m_limiter.take(bytes, BytesPerSecond, BurstWindow, now);
}

void LookupBudget::count(double bytes, SteadyTime now)
{
    m_requestedBytes.fetch_add(bytes, std::memory_order_relaxed);
    const SteadyTime::rep nowTicks = now.time_since_epoch().count();
    SteadyTime::rep start = m_windowStart.load(std::memory_order_relaxed);
    const SteadyTime::duration elapsed(nowTicks - start);
    if (elapsed < RateWindow)
        return;
    if (!m_windowStart.compare_exchange_strong(start, nowTicks, std::memory_order_relaxed))
        return;
    const double requested = m_requestedBytes.exchange(0, std::memory_order_relaxed);
    if (elapsed > 2 * RateWindow)
        return; // the first window, or one after an idle period, does not give the current rate
    const double perSecond = requested / std::chrono::duration<double>(elapsed).count();
    const double sufficient = std::min(1.0, BytesPerSecond / perSecond);
    m_share.store(share() + ShareSmoothing * (sufficient - share()), std::memory_order_relaxed);
}

} // namespace almondmill
