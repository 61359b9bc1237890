#include "almondmill/metrics/metrics.h"

#include <sstream>

namespace almondmill {

namespace {

void writeHistogram(std::ostream &out, const std::string &name, const Histogram &histogram)
{
    out << "# TYPE " << name << " histogram\n";
    std::uint64_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < Histogram::BucketCount; ++bucket) {
        cumulative += histogram.count(bucket);
        const std::chrono::duration<double> bound = Histogram::upperBound(bucket);
        out << name << "_bucket{le=\"" << bound.count() << "\"} " << cumulative << "\n";
    }
    const std::chrono::duration<double> sum = histogram.sum();
    out << name << "_bucket{le=\"+Inf\"} " << histogram.totalCount() << "\n"
        << name << "_sum " << sum.count() << "\n"
        << name << "_count " << histogram.totalCount() << "\n";
}

} // namespace

Counter &Metrics::counter(const std::string &name, const std::string &labels)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &entry = m_counters[name][labels];
    if (!entry)
        entry = std::make_unique<Counter>();
    return *entry;
}

Histogram &Metrics::histogram(const std::string &name)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &entry = m_histograms[name];
    if (!entry)
        entry = std::make_unique<Histogram>();
    return *entry;
}

void Metrics::setGauge(const std::string &name, std::function<double()> reader)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_gauges[name] = std::move(reader);
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::ostringstream out;
    for (const auto &[name, series] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, counter] : series) {
            out << name;
            if (!labels.empty())
                out << "{" << labels << "}";
            out << " " << counter->value() << "\n";
        }
    }
    for (const auto &[name, reader] : m_gauges)
        out << "# TYPE " << name << " gauge\n" << name << " " << reader() << "\n";
    for (const auto &[name, histogram] : m_histograms)
        writeHistogram(out, name, *histogram);
    return out.str();
}

} // namespace almondmill
