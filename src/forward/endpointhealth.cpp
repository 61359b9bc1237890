#include "almondmill/forward/endpointhealth.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Weight of an outcome in the moving average, which covers about the last ten.
constexpr double OutcomeWeight = 0.15;

/// Weight of a latency in the moving average, which covers about the last seven.
constexpr double LatencyWeight = 0.2;

/// Without requests the failure share halves in this time.
constexpr std::chrono::milliseconds FailureHalfLife{4000};

/// Backoff after the first unanswered request: some round trips and a connection attempt.
constexpr std::chrono::milliseconds InitialBackoff{1000};

/// Limits the backoff to 4 s, by which time the registration of a dead endpoint has expired.
constexpr std::uint32_t MaxBackoffDoublings = 2;

} // namespace

void EndpointHealth::recordSuccess(std::chrono::milliseconds latency, SteadyTime now)
{
    m_consecutiveUnanswered = 0;
    const auto sample = static_cast<double>(latency.count());
    m_latencyMs = m_latencyMs == 0 ? sample : m_latencyMs + LatencyWeight * (sample - m_latencyMs);
    addOutcome(0, now);
}

void EndpointHealth::recordFailure(SteadyTime now)
{
    m_consecutiveUnanswered = 0;
    addOutcome(1, now);
}

void EndpointHealth::recordNoAnswer(SteadyTime now)
{
    addOutcome(1, now);
    const auto pause =
            InitialBackoff * (1U << std::min(m_consecutiveUnanswered, MaxBackoffDoublings));
    ++m_consecutiveUnanswered;
    m_avoidUntil = std::max(m_avoidUntil, now + pause);
}

void EndpointHealth::recordRefusal(SteadyTime now, std::chrono::milliseconds pause)
{
    m_consecutiveUnanswered = 0;
    m_avoidUntil = std::max(m_avoidUntil, now + pause);
}

double EndpointHealth::failureShare(SteadyTime now) const
{
    const auto idle = std::chrono::duration<double, std::milli>(now - m_updatedAt);
    return m_failureShare
           * std::exp2(-idle / std::chrono::duration<double, std::milli>(FailureHalfLife));
}

std::chrono::microseconds EndpointHealth::latency() const
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    return std::chrono::microseconds(std::llround(m_latencyMs * MicrosecondsPerMillisecond));
}

void EndpointHealth::addOutcome(double failure, SteadyTime now)
{
    const double before = failureShare(now);
    m_failureShare = before + OutcomeWeight * (failure - before);
    m_updatedAt = now;
}

} // namespace almondmill
