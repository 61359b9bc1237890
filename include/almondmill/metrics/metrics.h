#pragma once

#include "almondmill/metrics/counter.h"
#include "almondmill/metrics/histogram.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// Registry of the counters, gauges and histograms of a process by name. Callers look up a series
/// once and keep the reference, which stays valid for the lifetime of the registry. Thread-safe.
class Metrics
{
public:
    /// Returns the counter with this name and label set and creates it on first use. `labels` is
    /// empty or in the Prometheus text format, such as `kind="read"`.
    Counter &counter(const std::string &name, const std::string &labels = {});

    /// Returns the histogram with this name and creates it on first use. It is exported in seconds.
    Histogram &histogram(const std::string &name);

    /// Registers a gauge; `reader` is called under the lock of the registry on each `text()`.
    void setGauge(const std::string &name, std::function<double()> reader);

    /// Returns all series in the Prometheus text format.
    std::string prometheusText() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::unique_ptr<Counter>>> m_counters;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace almondmill
