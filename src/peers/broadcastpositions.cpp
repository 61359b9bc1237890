#include "almondmill/peers/broadcastpositions.h"

namespace almondmill {

bool BroadcastPositions::record(const std::string &origin, std::uint64_t incarnation,
                                std::uint64_t sequence)
{
    Position &last = m_last[origin];
    if (last.incarnation == incarnation && sequence <= last.sequence)
        return false;
    last = {incarnation, sequence};
    return true;
}

} // namespace almondmill
