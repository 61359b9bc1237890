#pragma once

#include <cstdint>

namespace almondmill {

struct StreamEvent;

/// How a received event relates to the events that were relayed.
enum class EventVerdict {
    Relay,     ///< It is the next event for the caller.
    Duplicate, ///< The endpoint sent it before in this computation; dropped.
    Replayed,  ///< The caller has it from an earlier computation; dropped.
    Gap,       ///< Events before it are missing, or it is no event of a stream.
    Mismatch,  ///< The recomputed events differ from those that the caller has.
};

/// Progress of a stream over all attempts. Ensures that the caller gets the events completely, in
/// order and without duplicates. The relayed events are kept as a chained 64-bit hash, so that the
/// memory of a stream does not grow with its length.
class StreamProgress
{
public:
    /// Number of the last event relayed, or zero.
    std::uint64_t relayed() const { return m_relayed; }

    /// Number of the last event received from the present computation, after which it can resume.
    std::uint64_t seen() const { return m_seen; }

    /// Whether the endpoint numbers its events, which resuming a stream requires.
    bool numbered() const { return m_numbered; }

    /// Whether the end marker was relayed.
    bool complete() const { return m_complete; }

    /// The next attempt recomputes the stream, so its events are numbered from one again.
    void restartComputation();

    /// Classifies and records the next event of the present computation. Cost: linear in its bytes.
    EventVerdict recordEvent(const StreamEvent &event);

private:
    EventVerdict checkReplayed(const StreamEvent &event) const;

    std::uint64_t m_relayed = 0;
    std::uint64_t m_relayedHash = 0;
    std::uint64_t m_seen = 0; ///< Last event in sequence of the present computation.
    std::uint64_t m_seenHash = 0;
    bool m_numbered = true;
    bool m_complete = false;
};

} // namespace almondmill
