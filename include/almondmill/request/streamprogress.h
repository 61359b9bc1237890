#pragma once

#include <cstdint>

namespace almondmill {

struct StreamEvent;

/// What is to be done with an event that arrived.
enum class EventVerdict {
    Relay,     ///< It is the next one for the caller.
    Duplicate, ///< The endpoint sent it before; dropped.
    Replayed,  ///< The caller has it from an earlier computation; dropped.
    Gap,       ///< Events before it are missing.
    Differs,   ///< The recomputed events are not those that the caller has.
};

/// How far a stream has come over all attempts: keeps the events that reach the caller complete, in
/// order and free of repeats. What was relayed is kept as a chained 64-bit hash, so that a stream's
/// memory does not grow with its length.
class StreamProgress
{
public:
    /// Number of the last event relayed; zero when there is none.
    std::uint64_t relayed() const { return m_relayed; }

    /// Number of the last event of the present computation: where it can be resumed.
    std::uint64_t seen() const { return m_seen; }

    /// Whether the endpoint numbers its events, so that it can be asked for those after one.
    bool numbered() const { return m_numbered; }

    /// Whether the explicit end was relayed.
    bool complete() const { return m_complete; }

    /// The next attempt computes the stream anew: its events are counted from the first.
    void startOver();

    /// Judges the next event of the present computation. Constant cost but for hashing its bytes.
    EventVerdict take(const StreamEvent &event);

private:
    EventVerdict takeReplayed(const StreamEvent &event) const;

    std::uint64_t m_relayed = 0;
    std::uint64_t m_relayedHash = 0;
    std::uint64_t m_seen = 0; ///< Last event in order of the present computation.
    std::uint64_t m_seenHash = 0;
    bool m_numbered = true;
    bool m_complete = false;
};

} // namespace almondmill
