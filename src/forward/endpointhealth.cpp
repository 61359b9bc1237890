#include "almondmill/forward/endpointhealth.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// Weight of one outcome: about the last ten count.
constexpr double OutcomeWeight = 0.15;

/// Weight of one latency: about the last seven count.
constexpr double LatencyWeight = 0.2;

/// Without requests, failures count half after this time.
constexpr std::chrono::milliseconds FailureHalfLife{4000};

/// First time for which a silent endpoint is avoided; some round trips and a connection attempt.
constexpr std::chrono::milliseconds FirstAvoidance{1000};

/// Doublings of that time; it ends at 4 s, by which the registration of a dead endpoint is gone.
constexpr std::uint32_t MostDoublings = 2;

} // namespace

void EndpointHealth::succeeded(std::chrono::milliseconds latency, SteadyTime now)
{
    m_silences = 0;
    const auto sample = static_cast<double>(latency.count());
    m_latencyMs = m_latencyMs == 0 ? sample : m_latencyMs + LatencyWeight * (sample - m_latencyMs);
    add(0, now);
}

void EndpointHealth::failed(SteadyTime now)
{
    m_silences = 0;
    add(1, now);
}

void EndpointHealth::silent(SteadyTime now)
{
    add(1, now);
    const auto pause = FirstAvoidance * (1U << std::min(m_silences, MostDoublings));
    ++m_silences;
    m_avoidUntil = std::max(m_avoidUntil, now + pause);
}

void EndpointHealth::refused(SteadyTime now, std::chrono::milliseconds pause)
{
    m_silences = 0;
    m_avoidUntil = std::max(m_avoidUntil, now + pause);
}

double EndpointHealth::failureShare(SteadyTime now) const
{
    const auto idle = std::chrono::duration<double, std::milli>(now - m_changedAt);
    return m_failures
           * std::exp2(-idle / std::chrono::duration<double, std::milli>(FailureHalfLife));
}

std::chrono::microseconds EndpointHealth::latency() const
{
    constexpr double MicrosecondsPerMillisecond = 1000;
    return std::chrono::microseconds(std::llround(m_latencyMs * MicrosecondsPerMillisecond));
}

void EndpointHealth::add(double failure, SteadyTime now)
{
    const double before = failureShare(now);
    m_failures = before + OutcomeWeight * (failure - before);
    m_changedAt = now;
}

} // namespace almondmill
