#pragma once

#include "almondmill/directory/endpointdirectory.h"
#include "almondmill/forward/endpointviews.h"
#include "almondmill/forward/forwardersettings.h"
#include "almondmill/forward/forwardingmetrics.h"
#include "almondmill/forward/partlocations.h"
#include "almondmill/forward/repeatbudgets.h"
#include "almondmill/forward/weightstargets.h"
#include "almondmill/kernel/rcucell.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/peerviews.h"
#include "almondmill/peers/placementrelay.h"
#include "almondmill/route/routingtable.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace almondmill {

class PlatformAdapter;

/// What the parts of a forwarding router share. All of it but the routing table and the metrics
/// belongs to the event loop.
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
    RcuCell<RoutingTable> table; ///< Null until a configuration is in force.
    EndpointViews endpoints;
    EndpointDirectory directory;
    WeightsTargets weights;
    PeerViews peers;
    PartLocations parts;
    PlacementRelay placements; ///< Of parts, on their way to the other routers.
    RepeatBudgets repeats;
    bool draining = false; ///< SIGTERM came: not ready, and connections close after their answer.
};

} // namespace almondmill
