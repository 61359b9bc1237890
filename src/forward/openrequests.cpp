#include "almondmill/forward/openrequests.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

/// The loads of single endpoints are averaged over the same time.
constexpr std::chrono::duration<double> AverageTime{1.0};

} // namespace

void OpenRequests::updateAverages(SteadyTime now)
{
    const std::chrono::duration<double> elapsed = now - m_averagedAt;
    const double weight = 1 - std::exp(-elapsed / AverageTime);
    for (auto &[name, service] : m_services) {
        for (std::size_t level = 0; level < ServiceLoad::Levels; ++level)
            service.average[level] += weight * (service.open[level] - service.average[level]);
    }
    m_averagedAt = now;
}

OpenRequestCount::OpenRequestCount(OpenRequests::Service &service, std::size_t level)
    : m_open(service.open[std::min(level, ServiceLoad::Levels - 1)])
{
    m_open += 1;
}

OpenRequestCount::~OpenRequestCount()
{
    m_open -= 1;
}

} // namespace almondmill
