#include "almondmill/forward/availabilityrecorder.h"

#include "almondmill/forward/answermetadata.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingmetrics.h"
#include "almondmill/observe/eventline.h"

namespace almondmill {

namespace {

constexpr unsigned ServiceUnavailable = 503;

void recordLeaving(EndpointView &view, std::string_view requestId, ForwardingMetrics &metrics,
                   SteadyTime bootNow)
{
    if (!view.availability().recordLeaving(bootNow))
        return;
    metrics.recordLeavingEndpoint();
    EventLine("endpoint.leaving")
            .add("id", requestId)
            .add("endpoint", view.id())
            .add("started_at", view.registration().startedAt)
            .add("open", view.openRequests());
}

void recordPause(EndpointView &view, std::chrono::milliseconds length, std::string_view requestId,
                 ForwardingMetrics &metrics, SteadyTime bootNow)
{
    if (!view.availability().recordPause(length, bootNow))
        return;
    metrics.recordPausedEndpoint();
    EventLine("endpoint.paused")
            .add("id", requestId)
            .add("endpoint", view.id())
            .add("started_at", view.registration().startedAt)
            .add("for", length)
            .add("open", view.openRequests());
}

} // namespace

bool isStatementOf(const EndpointView &view, const AnswerMetadata &metadata)
{
    const bool namesOther = !metadata.endpointId.empty() && metadata.endpointId != view.id();
    const bool isSuccess = metadata.status >= 200 && metadata.status < 300;
    return !namesOther && (!isSuccess || metadata.isSigned);
}

void recordAvailability(EndpointView &view, const AnswerMetadata &metadata,
                        std::string_view requestId, ForwardingMetrics &metrics, SteadyTime bootNow)
{
    if (!isStatementOf(view, metadata))
        return;
    if (metadata.isLeaving)
        recordLeaving(view, requestId, metrics, bootNow);
    if (metadata.status == ServiceUnavailable && metadata.retryAfter)
        recordPause(view, *metadata.retryAfter, requestId, metrics, bootNow);
}

} // namespace almondmill
