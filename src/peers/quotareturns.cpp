#include "almondmill/peers/quotareturns.h"

#include <algorithm>

namespace almondmill {

SteadyTime::duration quotaTime(double amount, double perSecond)
{
    using Seconds = std::chrono::duration<double>;
    return std::chrono::duration_cast<SteadyTime::duration>(
            std::min(Seconds(amount / perSecond), Seconds(LongestQuotaReturn)));
}

} // namespace almondmill
