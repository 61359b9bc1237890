#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// Liveness of a member, from best to worst.
enum class MemberState { Alive, Suspect, Dead };

/// State of a member, disseminated by gossip. Of two rumours about the same member the one with the
/// higher revision wins; at equal revisions the worse state wins.
struct MemberRumour
{
    std::string address;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< Raised only by the member: at start and to refute.
    std::uint64_t configVersion = 0;
    MemberState state = MemberState::Alive;
    bool leaving = false;
};

} // namespace almondmill
