#pragma once

#include "almondmill/fleet/endpointrumour.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <vector>

namespace almondmill {

struct Vm;

/// Endpoint status as sent and received with heartbeats. Thread-safe; the calls take a lock for a
/// short time and do no I/O.
class EndpointRumours
{
public:
    virtual ~EndpointRumours() = default;

    /// Whether there is an update that should be sent to other routers immediately.
    virtual bool urgent() const = 0;

    /// Returns the rumours for the next message and counts them as sent. `members` is the size of
    /// the fleet.
    virtual std::vector<EndpointRumour> take(std::size_t members) = 0;

    /// Returns all rumours, for a router that has just joined the fleet.
    virtual std::vector<EndpointRumour> all() const = 0;

    /// Merges rumours received from another router.
    virtual void apply(const std::vector<EndpointRumour> &rumours, SteadyTime now) = 0;

    /// Applies the leaving marks that the VM list has for the endpoints' VMs.
    virtual void applyVms(const std::vector<Vm> &vms, SteadyTime now) = 0;
};

} // namespace almondmill
