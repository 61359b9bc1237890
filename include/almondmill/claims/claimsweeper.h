#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace almondmill {

class ObjectStore;

/// What one step of a sweep did.
struct SweepStep
{
    std::size_t removed = 0;
    std::size_t calls = 0; ///< Calls to the store.
    bool complete = false; ///< False when the store failed or expired claims are left.
};

/// Removes expired claims, one part of the names at a time, so that no list grows too long.
class ClaimSweeper
{
public:
    /// The claims are listed by the first three hex digits of their names.
    static constexpr unsigned PartCount = 4096;

    /// Most claims removed in a step; the rest waits for the next round.
    static constexpr std::size_t MostRemovals = 2000;

    /// How long the documented window of a key is.
    static constexpr std::chrono::hours Window{24};

    /// Kept beyond the window, for routers whose clocks differ.
    static constexpr std::chrono::hours Margin{1};

    ClaimSweeper(ObjectStore &store, std::chrono::milliseconds timeout);

    /// Removes the claims of one part that were created more than Window + Margin before `now`. One
    /// list, and one removal a claim, on the condition that the claim is the one listed.
    SweepStep sweep(unsigned part, WallTime now);

private:
    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
};

} // namespace almondmill
