#pragma once

#include "almondmill/metrics/counter.h"
#include "almondmill/metrics/histogram.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace almondmill {

/// All counters, gauges and histograms of a process by name. Look a series up once and keep the
/// reference: references stay valid as long as the object lives.
class Metrics
{
public:
    /// The counter of that name and label set, made at first use. `labels` is written as in the
    /// Prometheus text format, such as `kind="read"`, or empty.
    Counter &counter(const std::string &name, const std::string &labels = {});

    /// The histogram of that name, made at first use; its unit is the second.
    Histogram &histogram(const std::string &name);

    /// Registers a value that is read when the metrics are written out.
    void setGauge(const std::string &name, std::function<double()> reader);

    /// All series in the Prometheus text format.
    std::string text() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::unique_ptr<Counter>>> m_counters;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace almondmill
