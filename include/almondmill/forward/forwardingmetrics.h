#pragma once

#include "almondmill/metrics/counter.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

class Histogram;
class Metrics;
enum class RetrySafety;

/// Counters and latency histograms of forwarded requests.
class ForwardingMetrics
{
public:
    using Latency = std::chrono::steady_clock::duration;

    explicit ForwardingMetrics(Metrics &metrics);

    /// Counts a request sent to an endpoint; `repeated` when it was sent before.
    void recordSend(bool repeated);

    /// Counts an attempt that did not produce the caller's answer.
    void recordFailedAttempt(std::string_view reason);

    /// Counts an endpoint that announced its shutdown.
    void recordLeavingEndpoint() { m_leavingEndpoints.add(); }

    /// Counts a pause that an endpoint asked for.
    void recordPausedEndpoint() { m_endpointPauses.add(); }

    /// Count paces that this router's failed attempts began, reductions of a limit, and the ends of
    /// all paces.
    void recordPace() { m_paces.add(); }
    void recordPaceCut() { m_paceCuts.add(); }
    void recordPaceEnd() { m_paceEnds.add(); }

    /// Counts an endpoint that began to name a rate limit.
    void recordRateLimit() { m_rateLimits.add(); }

    /// Counts a request sent to an endpoint with a rate limit.
    void recordLimitedSend() { m_limitedSends.add(); }

    /// Counts a stream that a caller took up again; `known` when it is known where it began.
    void recordTakeUp(bool known);

    /// Counts a finished request and adds its latencies. `kind` is empty when no route matched,
    /// `firstByte` when no answer started.
    void recordRequest(std::optional<RetrySafety> kind, std::string_view outcome, Latency total,
                       std::optional<Latency> firstByte);

    /// Counts a request that was read whole and whose connection ended without a complete answer.
    void recordUnanswered(std::string_view cause);

private:
    Metrics &m_metrics;
    Counter &m_sends;
    Counter &m_repeatedSends;
    Counter &m_leavingEndpoints;
    Counter &m_endpointPauses;
    Counter &m_paces;
    Counter &m_paceCuts;
    Counter &m_paceEnds;
    Counter &m_rateLimits;
    Counter &m_limitedSends;
    Histogram &m_firstByteLatency;
    Histogram &m_requestLatency;
};

} // namespace almondmill
