#include "almondmill/claims/sweepduty.h"
#include "almondmill/store/objectstore.h"

namespace almondmill {

SweepDuty::SweepDuty(ObjectStore &store, const LeaseOptions &lease, unsigned firstPart)
    : m_sweeper(store, lease.storeTimeout)
    , m_lease(store, lease)
    , m_nextPart(firstPart % ClaimSweeper::PartCount)
{}

std::optional<SweepStep> SweepDuty::step(const Lease::Clock &clock, WallTime now)
{
    m_lease.maintain(clock);
    if (!m_lease.held(clock()))
        return std::nullopt;
    const SweepStep step = m_sweeper.sweep(m_nextPart, now);
    m_nextPart = (m_nextPart + 1) % ClaimSweeper::PartCount;
    return step;
}

} // namespace almondmill
