#pragma once

namespace almondmill {

/// How one attempt of a StreamRelay ended.
enum class AttemptEnd {
    Complete,   ///< The complete response arrived.
    NotSent,    ///< No byte of the request reached an endpoint.
    Broken,     ///< The connection was lost before the end.
    TimedOut,   ///< A timeout of the attempt expired.
    Gap,        ///< Events are missing.
    Mismatch,   ///< Recomputed events differ from those already relayed.
    Crossed,    ///< The answer carries the id of another attempt.
    Rejected,   ///< The status is an error, or a required stream is missing.
    TooLarge,   ///< The answer exceeds the router's size limit.
    CallerGone, ///< The caller closed its connection.
};

/// Result of an attempt, from which RelayPlan decides the next step.
struct AttemptReport
{
    AttemptEnd end = AttemptEnd::Broken;
    bool answered = false;   ///< The head of this attempt's answer arrived.
    bool streamed = false;   ///< The answer is an event stream.
    bool progressed = false; ///< At least one event in sequence arrived.
};

} // namespace almondmill
