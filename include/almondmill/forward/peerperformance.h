#pragma once

namespace almondmill {

class EndpointViews;
class PeerViews;
class RoutingTable;
class ServicePerformances;

/// Applies what the other routers saw, as of the last refresh of `peers`, and the configuration to
/// the performance of each service and endpoint. `table` is null without a configuration.
/// A router reports an endpoint only if its samples differ from the service's, so the samples of
/// the routers that don't report it count as usual ones; else the odd samples of an ordinary
/// endpoint would be all that others know of it.
void applyPeerPerformance(const EndpointViews &endpoints, const PeerViews &peers,
                          const RoutingTable *table, ServicePerformances &performances);

} // namespace almondmill
