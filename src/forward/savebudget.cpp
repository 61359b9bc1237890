#include "almondmill/forward/savebudget.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Burst that is allowed, in seconds of this router's share: some prompts of a small deployment.
constexpr double BurstSeconds = 4;

} // namespace

bool SaveBudget::take(double bytes, double bytesPerSecond, SteadyTime now)
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    const double maxBytes = bytesPerSecond * BurstSeconds;
    m_availableBytes = std::min(maxBytes, m_availableBytes + seconds * bytesPerSecond);
    if (m_availableBytes < bytes)
        return false;
    m_availableBytes -= bytes;
    return true;
}

} // namespace almondmill
