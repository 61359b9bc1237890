#pragma once

#include "almondmill/forward/pacereport.h"
#include "almondmill/forward/routerplace.h"
#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace almondmill {

/// Why an endpoint gets fewer requests than it may be able to take.
enum class PaceCause {
    Start,    ///< The incarnation is new.
    Pause,    ///< A pause that it asked for has ended.
    Failures, ///< Several attempts of this router in a row failed or were rejected.
};

const char *nameOf(PaceCause cause);

/// Limit on the requests open at one incarnation of an endpoint from all routers together, while it
/// is unknown how many it can take. Answers in the usual time double the limit, slow ones and
/// rejections halve it, and without news it doubles with time. All times are of the boot clock.
class EndpointPace
{
public:
    /// Time without news in which the limit doubles after a pause. The endpoint named the time of
    /// its return itself, so the whole period takes a second.
    static constexpr std::chrono::milliseconds PauseStep{250};

    /// Time without news in which the limit doubles in other periods: longer than the usual first
    /// answer, so that a slow endpoint is noticed before the limit has grown much.
    static constexpr std::chrono::milliseconds StartStep{500};

    /// Doublings after which the period ends: the limit then exceeds the slots and the queue.
    static constexpr std::uint32_t Doublings = 4;

    /// Failures in a row that begin a period.
    static constexpr std::uint32_t MaxFailures = 3;

    /// `slots` is the number of requests that the endpoint runs concurrently.
    explicit EndpointPace(std::uint32_t slots = 1);

    /// Begins a period at `from`, which may be in the future.
    void begin(PaceCause cause, SteadyTime from);

    /// Moves the begin of a period that has not begun yet.
    void postpone(SteadyTime from);

    bool isInForce(SteadyTime now) const;

    /// Open requests allowed from all routers together; meaningful while the pace is in force.
    std::uint32_t limitAt(SteadyTime now) const;

    /// When the limit doubles next, without news until then.
    SteadyTime nextStepAt(SteadyTime now) const;

    PaceCause cause() const { return m_cause; }
    std::uint32_t cuts() const { return m_cuts; }

    /// Records a first event that came in the usual time, to a request sent at `sentAt`. A full
    /// share of them doubles the limit.
    void recordGoodAnswer(SteadyTime sentAt, const RouterPlace &place, SteadyTime now);

    /// Records a first event that came much later than those of similar endpoints. Returns whether
    /// the limit was halved: requests that were sent before the last reduction say nothing about
    /// the limit since.
    bool recordLateAnswer(SteadyTime sentAt, SteadyTime now);

    /// Records an attempt without a connection or an answer. The way to the endpoint may be broken
    /// for this router only: other routers' limits stay, and theirs is not taken over until the
    /// next period. Returns whether the limit was halved or a period began.
    bool recordFailure(SteadyTime sentAt, SteadyTime now);

    /// Records a rejected request. Returns whether the limit was halved or a period began.
    bool recordRejection(SteadyTime sentAt, SteadyTime now);

    /// Takes over what another router reports, if it is greater than what is known here. Returns
    /// whether a period began.
    bool merge(const PaceReport &report, SteadyTime now);

    /// What other routers don't know yet; empty when there is nothing.
    std::optional<PaceReport> unsent() const;
    void markSent() { m_hasUnsent = false; }

    /// Whether a period has ended since the last call.
    bool takeEnded(SteadyTime now);

private:
    std::uint32_t initialLimit() const;
    std::uint32_t fullLimit() const { return initialLimit() << Doublings; }
    std::chrono::milliseconds stepTime() const;
    std::uint32_t stepsSince(SteadyTime now) const;
    /// Includes the growth with time in the stored limit.
    void advance(SteadyTime now);
    void restart(std::uint32_t limit, SteadyTime from);
    /// Halves the limit, down to `lowest`.
    void reduce(std::uint32_t lowest, SteadyTime now);
    bool reduceShared(SteadyTime sentAt, std::uint32_t lowest, SteadyTime now);
    bool recordUnpacedFailure(SteadyTime now);

    std::uint32_t m_slots;
    PaceCause m_cause = PaceCause::Start;
    std::uint32_t m_period = 0;
    std::uint32_t m_cuts = 0;
    std::uint32_t m_limit;
    SteadyTime m_changedAt; ///< From when on the limit grows with time.
    SteadyTime m_windowAt;  ///< Answers to earlier requests don't let the limit grow.
    SteadyTime m_cutAt;     ///< Rejections of earlier requests don't reduce it.
    std::uint32_t m_goodAnswers = 0;
    std::uint32_t m_failuresInRow = 0;
    bool m_isLocal = false; ///< The limit is this router's own; it is neither sent nor replaced.
    bool m_hasUnsent = false;
    bool m_hasBegun = false; ///< A period whose end is to be reported.
};

} // namespace almondmill
