#include "almondmill/forward/endpointperformance.h"

#include <algorithm>

namespace almondmill {

namespace {

/// A router of a large fleet has a sample of one endpoint every 30 s or so.
constexpr std::chrono::seconds TimeConstant{30};

/// Number of samples that the figures of the service count for.
constexpr double ServiceSamplesWeight = 4;

/// Bounds of one sample, so that a single odd answer doesn't decide.
constexpr double MinRatio = 0.25;
constexpr double MaxRatio = 4;

/// Ratios beyond these differ by more than a third and are reported to other routers.
constexpr double FastRatio = 2.0 / 3;
constexpr double SlowRatio = 4.0 / 3;
constexpr double MinReportedSamples = 0.5;

double bounded(double ratio)
{
    return std::clamp(ratio, MinRatio, MaxRatio);
}

WeightedFigure samplesOf(const DecayingMean &ratio, SteadyTime now)
{
    return {ratio.mean(), ratio.weightAt(now)};
}

double ratioOf(const DecayingMean &own, const WeightedFigure &reported, SteadyTime now)
{
    WeightedFigure sum{1, ServiceSamplesWeight};
    sum += samplesOf(own, now);
    sum += reported;
    return sum.value;
}

bool differs(const WeightedFigure &ratio)
{
    return ratio.samples >= MinReportedSamples
           && (ratio.value > SlowRatio || ratio.value < FastRatio);
}

} // namespace

EndpointPerformance::EndpointPerformance()
    : m_prefillRatio(TimeConstant)
    , m_fetchRatio(TimeConstant)
    , m_residenceRatio(TimeConstant)
{}

void EndpointPerformance::record(const ServicePerformance::Ratios &ratios, SteadyTime now)
{
    if (ratios.prefill)
        m_prefillRatio.add(bounded(*ratios.prefill), now);
    if (ratios.fetch)
        m_fetchRatio.add(bounded(*ratios.fetch), now);
    if (ratios.residence)
        m_residenceRatio.add(bounded(*ratios.residence), now);
}

PerformanceFigures EndpointPerformance::figures(const ServicePerformance &service,
                                                SteadyTime now) const
{
    PerformanceFigures figures = service.figures();
    figures.prefillTokensPerMs *= ratioOf(m_prefillRatio, m_reported.prefillRatio, now);
    figures.fetchedTokensPerMs *= ratioOf(m_fetchRatio, m_reported.fetchRatio, now);
    figures.residence *= ratioOf(m_residenceRatio, m_reported.residenceRatio, now);
    return figures;
}

std::optional<EndpointSamples> EndpointPerformance::deviation(SteadyTime now) const
{
    const EndpointSamples own{samplesOf(m_prefillRatio, now), samplesOf(m_fetchRatio, now),
                              samplesOf(m_residenceRatio, now)};
    if (!differs(own.prefillRatio) && !differs(own.fetchRatio) && !differs(own.residenceRatio))
        return std::nullopt;
    return own;
}

} // namespace almondmill
