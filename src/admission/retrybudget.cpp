#include "almondmill/admission/retrybudget.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Share of the largest budget that is left over for failures.
constexpr double ReserveRatio = 0.5;

/// Smallest reserve, in retries. A budget that can't hold more than this is spent on a silent
/// endpoint only after failures have left this many further retries unused.
constexpr double MinReserve = 2;

double reserveOf(const RetryBudget::Options &options)
{
    return std::max(options.maxAvailable * ReserveRatio, MinReserve);
}

} // namespace

RetryBudget::RetryBudget(const Options &options, SteadyTime now)
    : RetryBudget(options, now, options.maxAvailable)
{}

RetryBudget::RetryBudget(const Options &options, SteadyTime now, double available)
    : m_options(options)
    , m_reserve(reserveOf(options))
    , m_accumulated(std::min(available, options.maxAvailable))
    , m_refilledAt(now)
{}

double RetryBudget::available() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return usable();
}

void RetryBudget::requestStarted(SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    refill(now);
    add(m_options.share);
}

bool RetryBudget::canTake(SteadyTime now, RetryReason reason)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    refill(now);
    return suffices(reason);
}

bool RetryBudget::take(SteadyTime now, RetryReason reason)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    refill(now);
    if (!suffices(reason))
        return false;
    m_accumulated = usable() - 1;
    return true;
}

bool RetryBudget::suffices(RetryReason reason) const
{
    const double reserve = reason == RetryReason::Silence ? m_reserve : 0;
    return usable() >= 1 && m_accumulated >= 1 + reserve;
}

double RetryBudget::usable() const
{
    return std::min(m_accumulated, m_options.maxAvailable);
}

void RetryBudget::refill(SteadyTime now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    add(elapsed.count() * m_options.minPerSecond);
}

void RetryBudget::add(double retries)
{
    const double limit = std::max(m_options.maxAvailable, 1 + m_reserve);
    m_accumulated = std::min(limit, m_accumulated + retries);
}

} // namespace almondmill
