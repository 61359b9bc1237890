#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// Health of an endpoint, derived from its answers. Recent outcomes have more weight. Without
/// requests the failure share decays, so that the endpoint is tried again.
class EndpointHealth
{
public:
    /// Records that bytes of any answer were received.
    void recordActivity(SteadyTime now) { m_lastActivityAt = now; }

    /// Whether bytes of any answer were received at or after `since`.
    bool wasActiveSince(SteadyTime since) const { return m_lastActivityAt >= since; }

    /// Records an answer that is not a failure of the endpoint; `latency` is its time to first
    /// byte.
    void recordSuccess(std::chrono::milliseconds latency, SteadyTime now);

    /// Records an answer that is a failure of the endpoint itself.
    void recordFailure(SteadyTime now);

    /// Records that no answer was received, because no connection could be made or the request
    /// timed out. Starts a backoff that grows exponentially with consecutive calls.
    void recordNoAnswer(SteadyTime now);

    /// Records that the endpoint refused a request; it is avoided for `pause`.
    void recordRefusal(SteadyTime now, std::chrono::milliseconds pause);

    /// Whether requests should go to other endpoints if there are any.
    bool isAvoided(SteadyTime now) const { return now < m_avoidUntil; }

    /// Whether the endpoint answered the last request or its backoff has ended.
    bool isReachable(SteadyTime now) const
    {
        return m_consecutiveUnanswered == 0 || !isAvoided(now);
    }

    /// Share of recent requests that failed, from 0 to 1.
    double failureShare(SteadyTime now) const;

    /// Smoothed time to first byte; zero before the first answer.
    std::chrono::microseconds latency() const;

private:
    void addOutcome(double failure, SteadyTime now);

    double m_failureShare = 0;
    double m_latencyMs = 0;
    std::uint32_t m_consecutiveUnanswered = 0;
    SteadyTime m_updatedAt;
    SteadyTime m_avoidUntil;
    SteadyTime m_lastActivityAt;
};

} // namespace almondmill
