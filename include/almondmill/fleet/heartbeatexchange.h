#pragma once

#include "almondmill/fleet/heartbeat.h"
#include "almondmill/kernel/time.h"

namespace almondmill {

/// Answers the probes of other routers. Called from the peers' listener; must not block.
class HeartbeatExchange
{
public:
    virtual ~HeartbeatExchange() = default;

    /// Takes the prober's heartbeat in and returns this router's own.
    virtual Heartbeat answerProbe(const Heartbeat &heartbeat, SteadyTime now) = 0;

    /// This router's own heartbeat, for a probe sent on behalf of another router.
    virtual Heartbeat ownHeartbeat(SteadyTime now) = 0;
};

} // namespace almondmill
