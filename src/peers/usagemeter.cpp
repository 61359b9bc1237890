#include "almondmill/peers/usagemeter.h"

#include <chrono>
#include <cmath>

namespace almondmill {

namespace {

constexpr double DecaySeconds = 2;

double decayed(double sum, SteadyTime from, SteadyTime to)
{
    return sum * std::exp(-std::chrono::duration<double>(to - from).count() / DecaySeconds);
}

} // namespace

void UsageMeter::record(double amount, SteadyTime now)
{
    m_sum = decayed(m_sum, m_at, now) + amount;
    m_at = now;
}

double UsageMeter::perSecond(SteadyTime now) const
{
    return decayed(m_sum, m_at, now) / DecaySeconds;
}

} // namespace almondmill
