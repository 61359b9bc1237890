#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <optional>

namespace almondmill {

class StoreWatcher;

/// What a router's watchers know together of how well the store answers. A call that fails alone is
/// no outage: entries may have expired only if no router got an answer for long. While the store
/// doesn't answer, one watcher probes it and the others wait for the outcome, since all routers of
/// a fleet probe during an outage.
class StoreOutage
{
public:
    /// A time in which calls failed and the store is not known to have answered anyone.
    struct Period
    {
        SteadyTime begin;
        SteadyTime end;
    };

    /// Whether this watcher, whose last call failed, is to call the store next. The first one that
    /// asks becomes the prober.
    bool mayProbe(const StoreWatcher &watcher);

    /// Records that the store has answered a call of this router.
    void recordAnswer(SteadyTime now);

    /// Records that the store has answered a call of another router.
    void recordPeerAnswer(SteadyTime now);

    void recordFailure() { m_hasFailed = true; }

    /// False while watchers of this router wait for the store to answer again.
    bool isAnswering() const { return m_prober == nullptr; }

    /// The last outage that has ended; each one is returned once.
    std::optional<Period> takeEnded();

    /// Time for which the store has answered without an interruption, as far as this router knows.
    std::chrono::milliseconds answeringFor(SteadyTime now) const;

private:
    bool isInterruption(SteadyTime now) const;

    const StoreWatcher *m_prober = nullptr; ///< Null while the store answers.
    std::optional<SteadyTime> m_lastAnswer;
    SteadyTime m_answeringSince;
    bool m_hasFailed = false; ///< A call failed since the last answer.
    std::optional<Period> m_ended;
};

} // namespace almondmill
