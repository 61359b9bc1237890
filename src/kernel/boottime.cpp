#include "almondmill/kernel/boottime.h"

#include <ctime>

namespace almondmill {

SteadyTime bootTime()
{
    timespec time{};
    // Cannot fail: CLOCK_BOOTTIME exists on all supported Linux versions.
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return SteadyTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace almondmill
