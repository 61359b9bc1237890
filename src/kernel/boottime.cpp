#include "almondmill/kernel/boottime.h"

#include <ctime>

namespace almondmill {

SteadyTime bootTime()
{
    timespec time{};
    // Can't fail: the clock exists on every Linux that this runs on.
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace almondmill
