#include "almondmill/admission/serviceload.h"

#include <algorithm>
#include <numeric>

namespace almondmill {

namespace {

/// Share of the slots that less urgent requests are assumed to get at least. It bounds the expected
/// wait when the more urgent ones fill the slots.
constexpr double MinSlotShare = 0.1;

} // namespace

double ServiceLoad::openRequests() const
{
    return std::accumulate(openByLevel.begin(), openByLevel.end(), 0.0);
}

std::chrono::milliseconds ServiceLoad::expectedWait(std::size_t level) const
{
    const auto end = openByLevel.begin() + static_cast<std::ptrdiff_t>(std::min(level, Levels - 1));
    const double moreUrgent = std::accumulate(openByLevel.begin(), end, 0.0);
    const double ahead = moreUrgent + *end + 1 - slots;
    if (slots <= 0 || ahead <= 0)
        return std::chrono::milliseconds(0);
    const double ownSlots = std::max(slots - moreUrgent, MinSlotShare * slots);
    return std::chrono::duration_cast<std::chrono::milliseconds>(residence * (ahead / ownSlots));
}

} // namespace almondmill
