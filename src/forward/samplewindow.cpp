#include "almondmill/forward/samplewindow.h"

#include <algorithm>
#include <vector>

namespace almondmill {

namespace {

constexpr std::size_t MaxSamples = 33;
constexpr std::chrono::seconds TimeConstant{10};

} // namespace

SampleWindow::SampleWindow()
    : m_samples(MaxSamples)
    , m_recent(TimeConstant)
{}

void SampleWindow::add(double sample, SteadyTime now)
{
    m_samples.push_back(sample);
    m_recent.add(sample, now);
    std::vector<double> sorted(m_samples.begin(), m_samples.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    m_median = *middle;
}

} // namespace almondmill
