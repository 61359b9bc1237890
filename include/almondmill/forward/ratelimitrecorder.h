#pragma once

#include "almondmill/kernel/time.h"

namespace almondmill {

class EndpointView;
struct AnswerMetadata;
struct ForwardingContext;

/// When a request was sent and its answer arrived, on the boot clock.
struct AnswerTimes
{
    SteadyTime askedAt;
    SteadyTime heardAt;
};

/// Records what an accepted answer states about the endpoint's rate limit. An answer that isn't
/// the endpoint's statement records nothing. Only a signed one without the field ends a limit.
void recordRateLimit(ForwardingContext &context, const EndpointView &view,
                     const AnswerMetadata &metadata, const AnswerTimes &times);

} // namespace almondmill
