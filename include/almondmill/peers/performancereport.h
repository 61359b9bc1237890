#pragma once

#include <cstdint>

namespace almondmill {

/// A figure with the number of samples that it stands for.
struct WeightedFigure
{
    double value = 0;
    double samples = 0;

    /// The mean of both, by their numbers of samples.
    WeightedFigure &operator+=(const WeightedFigure &other)
    {
        const double sum = samples + other.samples;
        if (sum > 0)
            value = (value * samples + other.value * other.samples) / sum;
        samples = sum;
        return *this;
    }
};

/// What routers saw of the endpoints of a service.
struct ServiceSamples
{
    WeightedFigure prefillTokensPerMs;
    WeightedFigure fetchedTokensPerMs;
    WeightedFigure residenceMs;

    ServiceSamples &operator+=(const ServiceSamples &other)
    {
        prefillTokensPerMs += other.prefillTokensPerMs;
        fetchedTokensPerMs += other.fetchedTokensPerMs;
        residenceMs += other.residenceMs;
        return *this;
    }
};

/// What routers saw of one endpoint, as multiples of what is usual in its service: rates for
/// prefill and fetches, the time for the residence. A rate that contains an unknown wait is too low
/// by a bounded amount; a time would be too long by any.
struct EndpointSamples
{
    WeightedFigure prefillRatio;
    WeightedFigure fetchRatio;
    WeightedFigure residenceRatio;

    EndpointSamples &operator+=(const EndpointSamples &other)
    {
        prefillRatio += other.prefillRatio;
        fetchRatio += other.fetchRatio;
        residenceRatio += other.residenceRatio;
        return *this;
    }
};

} // namespace almondmill
