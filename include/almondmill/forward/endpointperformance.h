#pragma once

#include "almondmill/forward/serviceperformance.h"
#include "almondmill/kernel/decayingmean.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/performancereport.h"

#include <optional>

namespace almondmill {

/// Speed of one incarnation of an endpoint, relative to its service. It begins with the figures of
/// the service, and returns to them when there are no samples for a while: an endpoint that was
/// slow gets few requests and has to be tried again.
class EndpointPerformance
{
public:
    EndpointPerformance();

    void record(const ServicePerformance::Ratios &ratios, SteadyTime now);

    /// Sets what the other routers saw of this endpoint.
    void setReported(const EndpointSamples &reported) { m_reported = reported; }

    PerformanceFigures figures(const ServicePerformance &service, SteadyTime now) const;

    /// What this router saw itself lately; empty unless it differs from the service by more than a
    /// third.
    std::optional<EndpointSamples> deviation(SteadyTime now) const;

private:
    DecayingMean m_prefillRatio;
    DecayingMean m_fetchRatio;
    DecayingMean m_residenceRatio;
    EndpointSamples m_reported;
};

} // namespace almondmill
