#pragma once

#include "almondmill/claims/claimsweeper.h"
#include "almondmill/orders/lease.h"

#include <optional>

namespace almondmill {

/// Removes expired claims step by step while this router holds the lease for the sweep, so that
/// only one router sweeps at a time. Not thread-safe.
class LeasedClaimSweeper
{
public:
    /// Starts at `firstShard`. Holders use different values, so that all shards are reached even
    /// when the lease changes hands often.
    LeasedClaimSweeper(ObjectStore &store, const LeaseOptions &lease, unsigned firstShard);

    /// Runs one step, or returns nothing when this router does not hold the lease. Costs at most
    /// two calls to the store for the lease in addition to those of the step. Throws Error when the
    /// lease cannot be read.
    std::optional<SweepStep> step(const Lease::Clock &clock, WallTime now);

    void release() { m_lease.release(); }

private:
    ClaimSweeper m_sweeper;
    Lease m_lease;
    unsigned m_nextShard;
};

} // namespace almondmill
