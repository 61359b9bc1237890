#include "almondmill/forward/serviceperformance.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Long compared with an answer, so that short answers, which end first, don't count for too much.
constexpr std::chrono::seconds TimeConstant{10};

/// Number of samples that the initial figures count for.
constexpr double InitialSamples = 4;

/// An endpoint is compared with its service once the service has this number of samples.
constexpr double MinComparedSamples = 16;

/// Shorter prefills and fetches say little: the overhead of a request is of the same size.
constexpr double MinTokensPerSample = 500;

/// The mean time of an event isn't exchanged; each router needs this number of its own samples.
constexpr double MinEventGaps = 4;

constexpr PerformanceFigures::Milliseconds MinSampleTime{1};

double mean(double initial, const WeightedFigure &own, const WeightedFigure &reported)
{
    WeightedFigure sum{initial, InitialSamples};
    sum += own;
    sum += reported;
    return sum.value;
}

/// Replaces a figure unless the new one stands for no samples.
void replace(WeightedFigure &figure, const WeightedFigure &other)
{
    if (other.samples > 0)
        figure = other;
}

} // namespace

ServicePerformance::ServicePerformance(const PerformanceFigures &initial)
    : m_initial(initial)
    , m_figures(initial)
    , m_residence(TimeConstant)
    , m_eventGap(TimeConstant)
{}

void ServicePerformance::setInitial(const PerformanceFigures &initial)
{
    m_initial = initial;
    updateFigures();
}

void ServicePerformance::setReported(const ServiceSamples &reported)
{
    replace(m_reported.prefillTokensPerMs, reported.prefillTokensPerMs);
    replace(m_reported.fetchedTokensPerMs, reported.fetchedTokensPerMs);
    replace(m_reported.residenceMs, reported.residenceMs);
    updateFigures();
}

ServicePerformance::Sample ServicePerformance::sampleOf(const AnswerTiming &answer) const
{
    const ExpectedWork &work = answer.work;
    const Milliseconds toFirst = answer.toFirstEvent;
    Sample sample;
    if (answer.events > 1)
        sample.eventGap = Milliseconds(answer.toEnd) / (answer.events - 1);
    // The tokens of the first event are generated after the prefill, in the time of a gap.
    const Milliseconds firstEvent = sample.eventGap.value_or(Milliseconds(0));
    const Milliseconds computing = Milliseconds(work.computedTokens / m_figures.prefillTokensPerMs);
    const Milliseconds fetching = Milliseconds(work.fetchedTokens / m_figures.fetchedTokensPerMs);
    const bool isPrompt = work.computedTokens > 0;
    // Without events, the time to the first byte contains the generation of the whole answer.
    if (isPrompt && answer.events > 0)
        sample.residence = answer.toEnd + std::min(toFirst, firstEvent + computing + fetching);
    else if (work.startsAtOnce)
        sample.residence = answer.toEnd + toFirst;
    if (!isPrompt || !work.startsAtOnce || answer.events < 2)
        return sample;
    const bool fetches = work.fetchedTokens > 0;
    const Milliseconds prefill = std::max(toFirst - firstEvent, MinSampleTime);
    if (!fetches && work.computedTokens >= MinTokensPerSample)
        sample.prefillTokensPerMs = work.computedTokens / prefill.count();
    if (fetches && work.fetchedTokens >= MinTokensPerSample)
        sample.fetchedTokensPerMs =
                work.fetchedTokens / std::max(prefill - computing, MinSampleTime).count();
    return sample;
}

ServicePerformance::Ratios ServicePerformance::ratiosOf(const Sample &sample) const
{
    const auto isKnown = [](double own, const WeightedFigure &reported) {
        return own + reported.samples >= MinComparedSamples;
    };
    Ratios ratios;
    if (sample.prefillTokensPerMs && isKnown(m_prefill.lastWeight(), m_reported.prefillTokensPerMs))
        ratios.prefill = *sample.prefillTokensPerMs / m_figures.prefillTokensPerMs;
    if (sample.fetchedTokensPerMs && isKnown(m_fetch.lastWeight(), m_reported.fetchedTokensPerMs))
        ratios.fetch = *sample.fetchedTokensPerMs / m_figures.fetchedTokensPerMs;
    // The residence depends on the length of the answers, the time of an event hardly.
    const bool hasGaps = m_eventGap.lastWeight() > 0;
    if (sample.eventGap && m_eventGap.lastWeight() >= MinEventGaps)
        ratios.residence = sample.eventGap->count() / m_eventGap.mean();
    else if (sample.residence && !hasGaps
             && isKnown(m_residence.lastWeight(), m_reported.residenceMs))
        ratios.residence = *sample.residence / m_figures.residence;
    return ratios;
}

void ServicePerformance::record(const Sample &sample, SteadyTime now)
{
    if (sample.prefillTokensPerMs)
        m_prefill.add(*sample.prefillTokensPerMs, now);
    if (sample.fetchedTokensPerMs)
        m_fetch.add(*sample.fetchedTokensPerMs, now);
    if (sample.residence)
        m_residence.add(sample.residence->count(), now);
    if (sample.eventGap)
        m_eventGap.add(sample.eventGap->count(), now);
    updateFigures();
}

std::chrono::milliseconds ServicePerformance::residence() const
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_figures.residence);
}

bool ServicePerformance::hasLearntResidence() const
{
    return m_residence.lastWeight() + m_reported.residenceMs.samples >= MinComparedSamples;
}

ServiceSamples ServicePerformance::ownSamples(SteadyTime now) const
{
    return {{m_prefill.median(), m_prefill.weightAt(now)},
            {m_fetch.median(), m_fetch.weightAt(now)},
            {m_residence.mean(), m_residence.weightAt(now)}};
}

void ServicePerformance::updateFigures()
{
    m_figures.prefillTokensPerMs =
            mean(m_initial.prefillTokensPerMs, {m_prefill.median(), m_prefill.lastWeight()},
                 m_reported.prefillTokensPerMs);
    m_figures.fetchedTokensPerMs =
            mean(m_initial.fetchedTokensPerMs, {m_fetch.median(), m_fetch.lastWeight()},
                 m_reported.fetchedTokensPerMs);
    m_figures.residence = Milliseconds(mean(m_initial.residence.count(),
                                            {m_residence.mean(), m_residence.lastWeight()},
                                            m_reported.residenceMs));
}

} // namespace almondmill
