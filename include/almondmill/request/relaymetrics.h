#pragma once

namespace almondmill {

class Counter;
class Histogram;
class Metrics;

/// Metrics of the relays, looked up once.
struct RelayMetrics
{
    explicit RelayMetrics(Metrics &metrics);

    Histogram &timeToFirstToken; ///< From the request's arrival to the first event relayed.
    Histogram &addedDelay;       ///< From an event's arrival until it is written to the caller.
    Counter &resumes;
    Counter &recomputes;
    Counter &retries; ///< Requests sent to another endpoint before any event was relayed.
    Counter &crossedAnswers;
    Counter &cancelledStreams;
    Counter &duplicates;
    Counter &gaps;
    Counter &errors; ///< Requests that ended with an explicit error.
};

} // namespace almondmill
