#include "almondmill/forward/forwardingmetrics.h"

#include "almondmill/metrics/metrics.h"
#include "almondmill/route/route.h"

namespace almondmill {

namespace {

const char *nameOf(std::optional<RetrySafety> kind)
{
    if (!kind)
        return "none";
    switch (*kind) {
    case RetrySafety::Repeatable:
        return "repeatable";
    case RetrySafety::AtMostOnce:
        return "at_most_once";
    case RetrySafety::Stream:
        return "stream";
    case RetrySafety::ResumableStream:
        return "resumable_stream";
    }
    return "none";
}

std::string label(const std::string &name, std::string_view value)
{
    return name + "=\"" + std::string(value) + "\"";
}

std::chrono::microseconds inMicroseconds(ForwardingMetrics::Latency latency)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(latency);
}

} // namespace

ForwardingMetrics::ForwardingMetrics(Metrics &metrics)
    : m_metrics(metrics)
    , m_sends(metrics.counter("almondmill_sends_total"))
    , m_repeatedSends(metrics.counter("almondmill_repeated_sends_total"))
    , m_leavingEndpoints(metrics.counter("almondmill_leaving_endpoints_total"))
    , m_endpointPauses(metrics.counter("almondmill_endpoint_pauses_total"))
    , m_paces(metrics.counter("almondmill_endpoint_paces_total"))
    , m_paceCuts(metrics.counter("almondmill_endpoint_pace_cuts_total"))
    , m_paceEnds(metrics.counter("almondmill_endpoint_pace_ends_total"))
    , m_rateLimits(metrics.counter("almondmill_endpoint_rate_limits_total"))
    , m_limitedSends(metrics.counter("almondmill_sends_rate_limited_total"))
    , m_firstByteLatency(metrics.histogram("almondmill_first_byte_seconds"))
    , m_requestLatency(metrics.histogram("almondmill_request_seconds"))
{}

void ForwardingMetrics::recordSend(bool repeated)
{
    m_sends.add();
    if (repeated)
        m_repeatedSends.add();
}

void ForwardingMetrics::recordFailedAttempt(std::string_view reason)
{
    m_metrics.counter("almondmill_failed_attempts_total", label("reason", reason)).add();
}

void ForwardingMetrics::recordTakeUp(bool known)
{
    m_metrics
            .counter("almondmill_stream_take_ups_total",
                     label("origin", known ? "known" : "unknown"))
            .add();
}

void ForwardingMetrics::recordRequest(std::optional<RetrySafety> kind, std::string_view outcome,
                                      Latency total, std::optional<Latency> firstByte)
{
    const std::string labels = label("kind", nameOf(kind)) + "," + label("outcome", outcome);
    m_metrics.counter("almondmill_requests_total", labels).add();
    m_requestLatency.add(inMicroseconds(total));
    if (firstByte)
        m_firstByteLatency.add(inMicroseconds(*firstByte));
}

void ForwardingMetrics::recordUnanswered(std::string_view cause)
{
    m_metrics.counter("almondmill_unanswered_requests_total", label("cause", cause)).add();
}

} // namespace almondmill
