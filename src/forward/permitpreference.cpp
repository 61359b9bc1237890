#include "almondmill/forward/permitpreference.h"

#include <algorithm>
#include <chrono>

namespace almondmill {

namespace {

/// Requests for permits beyond the permits there are. Some requests find another endpoint better
/// although they are preferred.
constexpr double RequestsPerPermit = 1.3;

} // namespace

void PermitPreference::recordRequest(double work, SteadyTime now)
{
    m_samples[m_recorded % Samples] = {work, now};
    ++m_recorded;
}

bool PermitPreference::isPreferred(double work, double permitsPerSecond) const
{
    if (m_recorded < Samples)
        return true;
    const std::size_t newest = (m_recorded - 1) % Samples;
    const std::size_t oldest = m_recorded % Samples;
    const std::chrono::duration<double> elapsed = m_samples[newest].at - m_samples[oldest].at;
    const double preferred = RequestsPerPermit * permitsPerSecond * elapsed.count();
    const auto larger = std::count_if(m_samples.begin(), m_samples.end(),
                                      [work](const Sample &sample) { return sample.work > work; });
    return static_cast<double>(larger) < preferred;
}

} // namespace almondmill
