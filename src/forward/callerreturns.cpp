#include "almondmill/forward/callerreturns.h"

#include <algorithm>

namespace almondmill {

using std::chrono::milliseconds;

milliseconds CallerReturns::next(const std::string &service, double perSecond,
                                 milliseconds earliest, SteadyTime now)
{
    const std::chrono::duration<double> longest = LongestReturn;
    const auto interval = std::chrono::duration_cast<SteadyTime::duration>(
            std::min(std::chrono::duration<double>(1 / std::max(perSecond, 1e-6)), longest));
    SteadyTime &last = m_last[service];
    last = std::max(last + interval, now + earliest);
    last = std::min(last, now + std::max(earliest, LongestReturn));
    return std::chrono::ceil<milliseconds>(last - now);
}

} // namespace almondmill
