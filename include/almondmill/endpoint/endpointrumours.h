#pragma once

#include "almondmill/fleet/endpointrumour.h"
#include "almondmill/kernel/time.h"

#include <cstddef>
#include <vector>

namespace almondmill {

struct Vm;

/// What is told and heard of endpoints with heartbeats. Safe to call from several threads; does not
/// block for long.
class EndpointRumours
{
public:
    virtual ~EndpointRumours() = default;

    /// Whether something is known that others should hear at once.
    virtual bool urgent() const = 0;

    /// The rumours for the next message, counted as sent. `members` is the size of the fleet.
    virtual std::vector<EndpointRumour> take(std::size_t members) = 0;

    /// Everything that a router that just joined could not assume.
    virtual std::vector<EndpointRumour> all() const = 0;

    /// Takes in what another router told.
    virtual void apply(const std::vector<EndpointRumour> &rumours, SteadyTime now) = 0;

    /// Takes in what the VM list says of the endpoints' VMs.
    virtual void applyVms(const std::vector<Vm> &vms, SteadyTime now) = 0;
};

} // namespace almondmill
