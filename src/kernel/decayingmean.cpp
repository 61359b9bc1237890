#include "almondmill/kernel/decayingmean.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

DecayingMean::DecayingMean(std::chrono::duration<double> timeConstant)
    : m_timeConstant(timeConstant)
{}

void DecayingMean::add(double sample, SteadyTime now)
{
    m_weight = weightAt(now) + 1;
    m_mean += (sample - m_mean) / m_weight;
    m_updatedAt = now;
}

double DecayingMean::weightAt(SteadyTime now) const
{
    const std::chrono::duration<double> age = std::max(now - m_updatedAt, SteadyTime::duration(0));
    return m_weight * std::exp(-age / m_timeConstant);
}

} // namespace almondmill
