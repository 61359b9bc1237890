#pragma once

namespace almondmill {

class Counter;
class Histogram;
class Metrics;

/// The series that relays write, looked up once.
struct RelayMetrics
{
    explicit RelayMetrics(Metrics &metrics);

    Histogram &firstToken; ///< From the request's arrival to the first event passed on.
    Histogram &addedDelay; ///< From an event's arrival to its writing to the caller.
    Counter &resumes;
    Counter &recomputes;
    Counter &retries; ///< Sent to another endpoint before anything was relayed.
    Counter &crossedAnswers;
    Counter &cancelledStreams;
    Counter &duplicates;
    Counter &gaps;
    Counter &errors; ///< Streams ended by an explicit error.
};

} // namespace almondmill
