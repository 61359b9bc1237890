#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

/// Mean of samples that count less the older they are.
class DecayingMean
{
public:
    /// A sample's weight falls to 1/e within `timeConstant`.
    explicit DecayingMean(std::chrono::duration<double> timeConstant);

    void add(double sample, SteadyTime now);

    /// Zero without samples.
    double mean() const { return m_mean; }

    /// Sum of the weights of the samples at `now`.
    double weightAt(SteadyTime now) const;

    /// Sum of the weights when the last sample was added. It doesn't fall while there are none.
    double lastWeight() const { return m_weight; }

private:
    std::chrono::duration<double> m_timeConstant;
    double m_mean = 0;
    double m_weight = 0;
    SteadyTime m_updatedAt;
};

} // namespace almondmill
