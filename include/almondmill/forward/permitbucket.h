#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <optional>

namespace almondmill {

/// Token bucket for the requests of all routers to one endpoint, at the router that issues the
/// permits for them. It starts empty, since this router doesn't know what others issued before.
/// Permits can be reserved ahead of time.
class PermitBucket
{
public:
    using Milliseconds = std::chrono::milliseconds;

    /// Time in which the bucket fills; it always holds at least one permit.
    static constexpr Milliseconds BurstTime{500};

    /// Lower rates are taken as this one: without any request an endpoint can't state in an answer
    /// that its limit has risen or ended.
    static constexpr double MinPerSecond = 0.2;

    explicit PermitBucket(SteadyTime now);

    /// Takes a permit that can be used within `maxWait`. Returns when it can be used, from `now`
    /// on; empty when it would be later.
    std::optional<Milliseconds> take(double perSecond, Milliseconds maxWait, SteadyTime now);

    /// Puts a permit back that was not used.
    void giveBack();

    /// When a router that got no permit may ask again, from `now` on, at most `longest`. Successive
    /// calls return increasing times, so that routers don't all return for the same permit.
    Milliseconds nextInvitation(Milliseconds longest, SteadyTime now);

private:
    void setRate(double perSecond, SteadyTime now);

    SteadyTime m_startedAt;
    SteadyTime::duration m_interval{0}; ///< Between two permits; zero before the first rate.
    SteadyTime m_nextAt;                ///< When the next permit can be used.
    SteadyTime m_lastInvitation;
};

} // namespace almondmill
