#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// Decides whether a call to the platform may go out. Closed, every call goes. After several
/// failures in a row it opens: one probe at a time, after a back-off that doubles and is jittered.
/// After a probe that succeeds it recovers: the calls let through a second double step by step, so
/// that callers who waited do not all come at once. Pure: no clock, no lock, no random source.
class Circuit
{
public:
    enum class State { Closed, Open, Recovering };

    static constexpr unsigned FailuresToOpen = 3;
    static constexpr std::chrono::milliseconds ShortestBackOff{100};
    static constexpr std::chrono::milliseconds LongestBackOff{1000};
    static constexpr double FirstRecoveryRate = 10; ///< Calls a second.
    static constexpr double LastRecoveryRate = 640; ///< Calls a second; then closed.
    static constexpr std::chrono::seconds RecoveryStep{1};

    /// A probe whose end was never told no longer counts as under way after this time.
    static constexpr std::chrono::seconds ProbeLimit{10};

    State state() const { return m_state; }

    /// Whether a call may go out at `now`; one that may is counted as going out. The caller tells
    /// its end with `succeeded` or `failed`.
    bool allow(SteadyTime now);

    /// The platform answered.
    void succeeded(SteadyTime now);

    /// The platform gave no usable answer. `jitter` in [0, 1) spreads the back-off over the upper
    /// half of its length.
    void failed(SteadyTime now, double jitter);

private:
    void open(SteadyTime now, double jitter);
    bool takeToken(SteadyTime now);
    double recoveryRate(SteadyTime now) const;

    State m_state = State::Closed;
    unsigned m_failures = 0;
    std::chrono::milliseconds m_backOff = ShortestBackOff;
    SteadyTime m_nextProbe;
    bool m_probing = false;
    SteadyTime m_probeStarted;
    SteadyTime m_recoveringSince;
    SteadyTime m_tokensAt;
    double m_tokens = 0;
};

} // namespace almondmill
