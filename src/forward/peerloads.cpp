#include "almondmill/forward/peerloads.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/peers/peerviews.h"

namespace almondmill {

void estimatePeerLoads(const EndpointViews &endpoints, const PeerViews &peers)
{
    for (const auto &[service, views] : endpoints.byService()) {
        EndpointLoad sum;
        for (const auto &view : views)
            sum += peers.reportedLoadOn(shortHash(view->id()));
        const double endpointCount = static_cast<double>(views.size());
        const EndpointLoad unreported = sum * (peers.silentPeersPerReporter() / endpointCount);
        for (const auto &view : views) {
            EndpointLoad load = peers.reportedLoadOn(shortHash(view->id()));
            load += unreported;
            view->setPeerLoad(load);
        }
    }
}

} // namespace almondmill
