#pragma once

#include "almondmill/kernel/decayingmean.h"
#include "almondmill/kernel/time.h"

#include <boost/circular_buffer.hpp>

namespace almondmill {

/// Median of the last samples. Unlike the mean it isn't moved by the few samples that contain a
/// wait, or a cached prompt, that the router doesn't know of.
class SampleWindow
{
public:
    SampleWindow();

    void add(double sample, SteadyTime now);

    /// Zero without samples.
    double median() const { return m_median; }
    double weightAt(SteadyTime now) const { return m_recent.weightAt(now); }
    double lastWeight() const { return m_recent.lastWeight(); }

private:
    boost::circular_buffer<double> m_samples;
    DecayingMean m_recent; ///< Counts the samples by their age.
    double m_median = 0;
};

} // namespace almondmill
