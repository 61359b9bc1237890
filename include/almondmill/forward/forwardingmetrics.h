#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

class Counter;
class Histogram;
class Metrics;
enum class Repetition;

/// Counters and latency histograms of forwarded requests.
class ForwardingMetrics
{
public:
    using Latency = std::chrono::steady_clock::duration;

    explicit ForwardingMetrics(Metrics &metrics);

    /// A request left for an endpoint; `repeated` when it was sent before.
    void sent(bool repeated);

    /// An attempt did not answer the caller.
    void attemptFailed(std::string_view reason);

    /// A request ended; `kind` is missing where no route was found, `first` where no answer began.
    void ended(std::optional<Repetition> kind, std::string_view outcome, Latency whole,
               std::optional<Latency> first);

private:
    Metrics &m_metrics;
    Counter &m_sends;
    Counter &m_repeats;
    Histogram &m_firstByte;
    Histogram &m_whole;
};

} // namespace almondmill
