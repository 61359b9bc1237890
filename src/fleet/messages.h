#pragma once

#include "almondmill/fleet/configurationoffer.h"
#include "almondmill/fleet/heartbeat.h"
#include "almondmill/fleet/placementquery.h"

#include <fleet.pb.h>

namespace almondmill {

/// Conversions between the protobuf messages and the types of the router.
fleet::Heartbeat toMessage(const Heartbeat &heartbeat);
fleet::ConfigAnswer toMessage(const ConfigurationOffer &offer);
fleet::PlaceRequest toMessage(const PlacementQuery &query);
fleet::PlaceAnswer toMessage(const PlacementAdvice &advice);

Heartbeat fromMessage(const fleet::Heartbeat &message);
ConfigurationOffer fromMessage(const fleet::ConfigAnswer &message);
PlacementQuery fromMessage(const fleet::PlaceRequest &message);
PlacementAdvice fromMessage(const fleet::PlaceAnswer &message);

} // namespace almondmill
