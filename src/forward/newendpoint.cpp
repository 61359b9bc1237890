#include "almondmill/forward/newendpoint.h"

#include "almondmill/directory/registration.h"

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// An endpoint whose registration names a start less than this ago is new, as far as the clocks of
/// VMs agree.
constexpr milliseconds NewEndpointAge{5000};

/// The pages of the first list of endpoints arrive within this time.
constexpr milliseconds FirstListTime{5000};

} // namespace

bool isNewEndpoint(const Registration &registration, SteadyTime::duration serviceKnownFor,
                   milliseconds unixNow)
{
    const milliseconds age = unixNow - registration.startedAt;
    const bool hasJustStarted = age > -NewEndpointAge && age < NewEndpointAge;
    return hasJustStarted || serviceKnownFor >= FirstListTime;
}

} // namespace almondmill
