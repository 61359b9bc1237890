#pragma once

#include "almondmill/kernel/time.h"

#include <array>
#include <cstddef>

namespace almondmill {

/// Selects the requests that should use the permits of endpoints with a rate limit. A limit counts
/// requests of any size, so the other endpoints are relieved most when the largest requests use it.
class PermitPreference
{
public:
    /// Latest requests that are compared.
    static constexpr std::size_t Samples = 64;

    /// Records a request; `work` is in prompt tokens.
    void recordRequest(double work, SteadyTime now);

    /// Whether a request with that work belongs to the largest ones, as many as the permits
    /// suffice for. `permitsPerSecond` are those for this router's requests.
    bool isPreferred(double work, double permitsPerSecond) const;

private:
    struct Sample
    {
        double work = 0;
        SteadyTime at;
    };

    std::array<Sample, Samples> m_samples;
    std::size_t m_recorded = 0;
};

} // namespace almondmill
