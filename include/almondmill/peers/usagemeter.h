#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

/// Average use of something per second, with weights that decay over about two seconds.
class UsageMeter
{
public:
    void record(double amount, SteadyTime now);

    double perSecond(SteadyTime now) const;

private:
    double m_sum = 0;
    SteadyTime m_at;
};

} // namespace almondmill
