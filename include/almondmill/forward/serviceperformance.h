#pragma once

#include "almondmill/forward/answertiming.h"
#include "almondmill/forward/performancefigures.h"
#include "almondmill/forward/samplewindow.h"
#include "almondmill/kernel/decayingmean.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/performancereport.h"

#include <chrono>
#include <optional>

namespace almondmill {

/// Speed of the endpoints of a service on average, from the answers that this router saw and what
/// the other routers report. A router of a large fleet sees too few answers of one endpoint to know
/// its speed, but enough of a service.
class ServicePerformance
{
public:
    using Milliseconds = PerformanceFigures::Milliseconds;

    /// What one answer says about the speed of its endpoint. Empty where it says nothing.
    struct Sample
    {
        std::optional<double> prefillTokensPerMs;
        std::optional<double> fetchedTokensPerMs;
        std::optional<Milliseconds> residence;
        std::optional<Milliseconds> eventGap;
    };

    /// The rates and the residence at an endpoint, as multiples of the usual ones in its service.
    /// Empty where the sample says nothing or the usual figure isn't known yet.
    struct Ratios
    {
        std::optional<double> prefill;
        std::optional<double> fetch;
        std::optional<double> residence;
    };

    explicit ServicePerformance(const PerformanceFigures &initial);

    /// Changes what is assumed without samples.
    void setInitial(const PerformanceFigures &initial);

    /// Sets what the other routers saw. A figure without samples leaves the last one in force.
    void setReported(const ServiceSamples &reported);

    Sample sampleOf(const AnswerTiming &answer) const;
    Ratios ratiosOf(const Sample &sample) const;
    void record(const Sample &sample, SteadyTime now);

    const PerformanceFigures &figures() const { return m_figures; }

    /// Time for which a request holds a slot.
    std::chrono::milliseconds residence() const;

    /// Whether the residence follows from enough samples, and not from the initial figures.
    bool hasLearntResidence() const;

    /// What this router saw itself lately.
    ServiceSamples ownSamples(SteadyTime now) const;

private:
    void updateFigures();

    PerformanceFigures m_initial;
    PerformanceFigures m_figures;
    ServiceSamples m_reported;
    SampleWindow m_prefill;
    SampleWindow m_fetch;
    DecayingMean m_residence;
    DecayingMean m_eventGap;
};

} // namespace almondmill
