#pragma once

#include "almondmill/fleet/heartbeat.h"
#include "almondmill/kernel/time.h"

namespace almondmill {

/// Answers the probes of other routers. Called from the threads of the peer listener; must not
/// block.
class HeartbeatExchange
{
public:
    virtual ~HeartbeatExchange() = default;

    /// Applies the prober's heartbeat and returns the heartbeat of this router.
    virtual Heartbeat answerProbe(const Heartbeat &heartbeat, SteadyTime now) = 0;

    /// The heartbeat of this router, for a probe sent on behalf of another router.
    virtual Heartbeat ownHeartbeat(SteadyTime now) = 0;
};

} // namespace almondmill
