#pragma once

#include "almondmill/kernel/time.h"

#include <string_view>

namespace almondmill {

class EndpointView;
class ForwardingMetrics;
struct AnswerMetadata;

/// Whether an accepted answer is a statement of the endpoint. One that names another endpoint, or a
/// success without a signature, is not.
bool isStatementOf(const EndpointView &view, const AnswerMetadata &metadata);

/// Records what an accepted answer to `requestId` states about the endpoint's availability.
/// `bootNow` is the time of the boot clock. An answer that isn't the endpoint's statement records
/// nothing.
void recordAvailability(EndpointView &view, const AnswerMetadata &metadata,
                        std::string_view requestId, ForwardingMetrics &metrics, SteadyTime bootNow);

} // namespace almondmill
