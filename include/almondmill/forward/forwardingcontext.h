#pragma once

#include "almondmill/directory/endpointdirectory.h"
#include "almondmill/forward/callerreturns.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/forward/forwardersettings.h"
#include "almondmill/forward/forwardingmetrics.h"
#include "almondmill/forward/openrequests.h"
#include "almondmill/forward/pacechanges.h"
#include "almondmill/forward/partbreakers.h"
#include "almondmill/forward/partlocations.h"
#include "almondmill/forward/permitpreference.h"
#include "almondmill/forward/plannedstop.h"
#include "almondmill/forward/ratelimits.h"
#include "almondmill/forward/serviceperformances.h"
#include "almondmill/forward/serviceretrybudgets.h"
#include "almondmill/forward/weightstargets.h"
#include "almondmill/kernel/rcucell.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/partlookups.h"
#include "almondmill/peers/peerviews.h"
#include "almondmill/peers/placementbroadcastqueue.h"
#include "almondmill/peers/routerplaces.h"
#include "almondmill/peers/sendpermits.h"
#include "almondmill/peers/streamorigins.h"
#include "almondmill/route/routingtable.h"

#include <absl/container/flat_hash_map.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>

namespace almondmill {

class AccountQuotas;
class HeldMemory;
class PlatformAdapter;

/// State shared by the components of a forwarding router. Only the routing table and the metrics
/// may be used outside the event loop.
struct ForwardingContext
{
    ForwardingContext(boost::asio::io_context &eventLoop, ForwarderSettings forwarderSettings,
                      std::unique_ptr<PlatformAdapter> platformAdapter);
    ~ForwardingContext();
    ForwardingContext(const ForwardingContext &) = delete;
    ForwardingContext &operator=(const ForwardingContext &) = delete;

    boost::asio::io_context &loop;
    const ForwarderSettings settings;
    const std::unique_ptr<PlatformAdapter> adapter;
    Metrics metrics;
    ForwardingMetrics requestMetrics;
    RcuCell<RoutingTable> table; ///< Null until the first configuration is in force.
    EndpointViews endpoints;
    EndpointDirectory directory;
    const std::shared_ptr<HeldMemory> heldMemory;
    RateLimits rateLimits;
    RouterPlaces routerPlaces;
    PaceChanges paceChanges;
    WeightsTargets weights;
    PeerViews peers;
    PartLocations partLocations;
    PartBreakers partBreakers;
    PlacementBroadcastQueue
            placements; ///< Placements of prompt parts to be sent to the other routers.
    PartLookups partLookups;
    StreamOrigins streamOrigins;
    SendPermits sendPermits;
    const std::unique_ptr<AccountQuotas> accountQuotas;
    CallerReturns callerReturns;
    absl::flat_hash_map<std::string, PermitPreference> permitPreferences; ///< By service.
    ServiceRetryBudgets retryBudgets;
    ServicePerformances performances;
    OpenRequests openRequests;

    /// Set on SIGTERM: the router is not ready, and connections close after the current answer.
    std::optional<PlannedStop> plannedStop;
    bool isDraining() const { return plannedStop.has_value(); }
};

} // namespace almondmill
