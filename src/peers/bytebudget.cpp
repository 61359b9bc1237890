#include "almondmill/peers/bytebudget.h"

#include <algorithm>
#include <chrono>

namespace almondmill {

void ByteBudget::spend(std::size_t bytes, SteadyTime now)
{
    refill(now);
    m_left -= static_cast<double>(bytes);
}

bool ByteBudget::isAvailable(SteadyTime now)
{
    refill(now);
    return m_left > 0;
}

void ByteBudget::refill(SteadyTime now)
{
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_left = std::min(m_burst, m_left + std::max(0.0, elapsed.count()) * m_bytesPerSecond);
    m_refilledAt = now;
}

} // namespace almondmill
