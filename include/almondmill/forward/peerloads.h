#pragma once

namespace almondmill {

class EndpointViews;
class PeerViews;

/// Sets the load that the other routers place on each endpoint, as of the last refresh of `peers`.
/// In large fleets only a few peers have reported within the last seconds. Their load counts where
/// they reported it. The other peers are assumed to have the same load on average and to spread it
/// evenly over the endpoints of a service: if each report were multiplied instead, single requests
/// of the reporting peers would decide where all others go.
void estimatePeerLoads(const EndpointViews &endpoints, const PeerViews &peers);

} // namespace almondmill
