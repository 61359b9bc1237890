#pragma once

#include <cstdint>
#include <optional>

namespace almondmill {

struct StreamEvent;

/// Decides which events of a resumed stream continue the stream that a caller has received. The
/// first endpoint's events pass unchecked; they show how event ids increase.
class StreamContinuity
{
public:
    /// How an event of the current attempt relates to those that were relayed.
    enum class Verdict {
        Relay,  ///< The caller gets it next.
        Repeat, ///< The caller has it already.
        Break,  ///< Events before it are missing, or it can't be placed.
    };

    /// The stream is resumed at another endpoint after the event `lastId`.
    void resume(std::optional<std::uint64_t> lastId);

    /// Classifies and records the next event of the current attempt.
    Verdict recordEvent(const StreamEvent &event);

    /// Whether another endpoint can continue after what was relayed: the last event with data had
    /// an id.
    bool canResume() const { return m_canResume; }

    /// Whether the current attempt has repeated events but not the last one that was relayed. A
    /// stream that ends there is incomplete.
    bool isBehind() const { return !m_isJoined && m_repeatedId && m_repeatedId < m_lastId; }

private:
    Verdict verdictOn(const StreamEvent &event) const;
    bool isNext(std::uint64_t id) const;
    bool isConsecutive(std::uint64_t id) const;
    void recordId(std::uint64_t id);

    std::optional<std::uint64_t> m_lastId;
    std::optional<std::uint64_t> m_repeatedId; ///< Highest id that the current attempt repeated.
    bool m_hasSteps = false;     ///< An attempt has sent two ids, which show the step between them.
    bool m_isConsecutive = true; ///< Each id so far was one above the id before it.
    bool m_isResumed = false;
    bool m_isJoined = true; ///< An id of the current attempt has followed the last id before it.
    bool m_canResume = true;
};

} // namespace almondmill
