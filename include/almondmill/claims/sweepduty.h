#pragma once

#include "almondmill/claims/claimsweeper.h"
#include "almondmill/orders/lease.h"

#include <optional>

namespace almondmill {

/// Sweeps expired claims step by step while this router holds the sweep's lease, so that one router
/// at a time does. Not safe for several threads.
class SweepDuty
{
public:
    /// Begins at `firstPart`: holders that change often must not all begin at the same part.
    SweepDuty(ObjectStore &store, const LeaseOptions &lease, unsigned firstPart);

    /// One step, or nothing when another router holds the lease. At most two calls to the store for
    /// the lease besides those of the step. Throws Error when the lease can't be read.
    std::optional<SweepStep> step(const Lease::Clock &clock, WallTime now);

    /// Gives the lease up.
    void release() { m_lease.release(); }

private:
    ClaimSweeper m_sweeper;
    Lease m_lease;
    unsigned m_nextPart;
};

} // namespace almondmill
