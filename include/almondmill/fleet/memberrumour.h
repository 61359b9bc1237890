#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// What routers believe of a member, from best to worst.
enum class MemberState { Alive, Suspect, Dead };

/// What one router tells others of a member. The higher revision wins; at the same revision the
/// worse state wins.
struct MemberRumour
{
    std::string address;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< Raised by the member alone, at its start and to refute.
    std::uint64_t configVersion = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false;
};

} // namespace almondmill
