#include "almondmill/forward/savebudget.h"

#include <algorithm>

namespace almondmill {

namespace {

/// What may be saved at once, in seconds of the share: some prompts of a small deployment.
constexpr double BurstSeconds = 4;

} // namespace

bool SaveBudget::take(double bytes, double bytesPerSecond, SteadyTime now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    const double most = bytesPerSecond * BurstSeconds;
    m_available = std::min(most, m_available + seconds * bytesPerSecond);
    if (m_available < bytes)
        return false;
    m_available -= bytes;
    return true;
}

} // namespace almondmill
