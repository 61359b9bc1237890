#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/steadynow.h"

namespace almondmill {

ClockTimes ClockTimes::now()
{
    return {steadyNow(), bootTime()};
}

} // namespace almondmill
