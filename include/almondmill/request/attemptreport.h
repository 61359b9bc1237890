#pragma once

namespace almondmill {

/// How an attempt of a relay ended.
enum class AttemptEnd {
    Complete,   ///< The whole answer arrived.
    NotSent,    ///< No byte of the request reached an endpoint.
    Broken,     ///< The connection was lost before the end.
    Silent,     ///< Nothing came for longer than the limit.
    Gap,        ///< Events are missing.
    Differs,    ///< A recomputed event is not the one that was relayed.
    Crossed,    ///< The answer belongs to another attempt.
    Rejected,   ///< The endpoint refused to serve it.
    TooLarge,   ///< The answer is larger than the router takes.
    CallerGone, ///< Nobody waits for the answer.
};

/// What the relay needs to know of an attempt to decide on the next step.
struct AttemptReport
{
    AttemptEnd end = AttemptEnd::Broken;
    bool answered = false;   ///< The endpoint began to answer this attempt.
    bool streamed = false;   ///< Its answer is an event stream.
    bool progressed = false; ///< At least one event went to the caller.
};

} // namespace almondmill
