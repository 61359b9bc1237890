#include "almondmill/claims/leasedclaimsweeper.h"
#include "almondmill/store/objectstore.h"

namespace almondmill {

LeasedClaimSweeper::LeasedClaimSweeper(ObjectStore &store, const LeaseOptions &lease,
                                       unsigned firstShard)
    : m_sweeper(store, lease.storeTimeout)
    , m_lease(store, lease)
    , m_nextShard(firstShard % ClaimSweeper::ShardCount)
{}

std::optional<SweepStep> LeasedClaimSweeper::step(const Lease::Clock &clock, WallTime now)
{
    m_lease.maintain(clock);
    if (!m_lease.held(clock()))
        return std::nullopt;
    const SweepStep step = m_sweeper.sweep(m_nextShard, now);
    m_nextShard = (m_nextShard + 1) % ClaimSweeper::ShardCount;
    return step;
}

} // namespace almondmill
