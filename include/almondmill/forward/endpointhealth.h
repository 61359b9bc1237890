#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// What the answers of an endpoint show of its state. Recent answers count more; without any, the
/// memory of failures fades, so that the endpoint is tried again.
class EndpointHealth
{
public:
    /// Some bytes of any answer came.
    void heard(SteadyTime now) { m_heardAt = now; }

    /// Whether anything came since `since`.
    bool wasHeardSince(SteadyTime since) const { return m_heardAt >= since; }

    /// An answer came and wasn't a failure of the endpoint; `latency` to its first byte.
    void succeeded(std::chrono::milliseconds latency, SteadyTime now);

    /// An answer came that is a failure of the endpoint itself.
    void failed(SteadyTime now);

    /// No answer came: it can't be reached or keeps silent. It is avoided for a while that grows
    /// with each such event in a row.
    void silent(SteadyTime now);

    /// It answered that it has no room; it is avoided for a moment.
    void refused(SteadyTime now, std::chrono::milliseconds pause);

    /// Whether requests should go elsewhere while there is an elsewhere.
    bool isAvoided(SteadyTime now) const { return now < m_avoidUntil; }

    /// Whether it answered, or at least was not silent, when it was last asked.
    bool isReachable(SteadyTime now) const { return m_silences == 0 || !isAvoided(now); }

    /// Share of recent requests that failed, from zero to one.
    double failureShare(SteadyTime now) const;

    /// Smoothed time to an answer's first byte; zero before the first answer.
    std::chrono::microseconds latency() const;

private:
    void add(double failure, SteadyTime now);

    double m_failures = 0;
    double m_latencyMs = 0;
    std::uint32_t m_silences = 0;
    SteadyTime m_changedAt;
    SteadyTime m_avoidUntil;
    SteadyTime m_heardAt;
};

} // namespace almondmill
