#include "almondmill/request/relaymetrics.h"

#include "almondmill/metrics/metrics.h"

namespace almondmill {

RelayMetrics::RelayMetrics(Metrics &metrics)
    : timeToFirstToken(metrics.histogram("almondmill_time_to_first_token_seconds"))
    , addedDelay(metrics.histogram("almondmill_added_delay_seconds"))
    , resumes(metrics.counter("almondmill_stream_resumes_total"))
    , recomputes(metrics.counter("almondmill_stream_recomputes_total"))
    , retries(metrics.counter("almondmill_request_retries_total"))
    , crossedAnswers(metrics.counter("almondmill_crossed_answers_total"))
    , cancelledStreams(metrics.counter("almondmill_streams_cancelled_total"))
    , duplicates(metrics.counter("almondmill_duplicate_events_total"))
    , gaps(metrics.counter("almondmill_event_gaps_total"))
    , errors(metrics.counter("almondmill_stream_errors_total"))
{}

} // namespace almondmill
