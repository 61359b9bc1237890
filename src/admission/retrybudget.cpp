#include "almondmill/admission/retrybudget.h"

#include <algorithm>

namespace almondmill {

RetryBudget::RetryBudget(const Options &options, SteadyTime now)
    : m_options(options)
    , m_available(options.maxAvailable)
    , m_refilledAt(now)
{}

double RetryBudget::available() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_available;
}

void RetryBudget::requestStarted(SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    refill(now);
    m_available = std::min(m_options.maxAvailable, m_available + m_options.share);
}

bool RetryBudget::take(SteadyTime now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    refill(now);
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

void RetryBudget::refill(SteadyTime now)
{
    if (now <= m_refilledAt)
        return;
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_refilledAt = now;
    m_available = std::min(m_options.maxAvailable,
                           m_available + elapsed.count() * m_options.minPerSecond);
}

} // namespace almondmill
