#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>

namespace almondmill {

class EndpointView;
struct ForwardingContext;

/// A request whose first event has come.
struct PaceAnswer
{
    SteadyTime sentAt; ///< On the boot clock.
    std::chrono::milliseconds latency{0};
    bool fetchesParts = false; ///< The endpoint fetched parts of the prompt first.
};

// Record what this router's attempts show about the pace of an endpoint, with event lines and
// counters. `bootNow` is the time of the boot clock.

void recordPaceAnswer(ForwardingContext &context, EndpointView &view, const PaceAnswer &answer,
                      SteadyTime bootNow);
/// Records a request that the endpoint rejected.
void recordPaceRejection(ForwardingContext &context, EndpointView &view, SteadyTime sentAt,
                         SteadyTime bootNow);
/// Records an attempt without a connection or an answer.
void recordPaceFailure(ForwardingContext &context, EndpointView &view, SteadyTime sentAt,
                       SteadyTime bootNow);
/// Records the end of a pace, once.
void recordPaceEnd(ForwardingContext &context, EndpointView &view, SteadyTime bootNow);

} // namespace almondmill
