#pragma once

#include "almondmill/kernel/time.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// Circuit breaker for calls to the platform. While closed, it allows every call. After
/// `FailuresToOpen` consecutive failures it opens and allows one probe at a time, with exponential
/// back-off and jitter between probes. After a successful probe it recovers: the allowed call rate
/// starts low and doubles at each interval, so that waiting callers do not overload the platform.
/// Deterministic: the caller passes the time and the jitter. Not thread-safe.
class CircuitBreaker
{
public:
    enum class State { Closed, Open, Recovering };

    static constexpr unsigned FailuresToOpen = 3;
    static constexpr std::chrono::milliseconds MinBackOff{100};
    static constexpr std::chrono::milliseconds MaxBackOff{1000};
    static constexpr double InitialRecoveryRatePerSecond = 10;
    static constexpr double MaxRecoveryRatePerSecond = 640; ///< Above it, the breaker closes.
    static constexpr std::chrono::seconds RecoveryDoublingInterval{1};

    /// After this time a probe whose result was not recorded no longer blocks the next probe.
    static constexpr std::chrono::seconds ProbeTimeout{10};

    State state() const { return m_state; }

    /// Returns whether a call may be sent at `now`, and counts an allowed call as sent. The caller
    /// reports its result with `recordSuccess` or `recordFailure`.
    bool allow(SteadyTime now);

    /// Records that the platform answered a call.
    void recordSuccess(SteadyTime now);

    /// Records that the platform gave no usable answer. `jitter` in [0, 1) sets the delay before
    /// the next probe between one half and the whole of the back-off.
    void recordFailure(SteadyTime now, double jitter);

private:
    void open(SteadyTime now, double jitter);
    bool takeToken(SteadyTime now);
    double recoveryRate(SteadyTime now) const;

    State m_state = State::Closed;
    unsigned m_failures = 0;
    std::chrono::milliseconds m_backOff = MinBackOff;
    SteadyTime m_nextProbe;
    bool m_probing = false;
    SteadyTime m_probeStarted;
    SteadyTime m_recoveringSince;
    SteadyTime m_tokensUpdated;
    double m_tokens = 0;
};

} // namespace almondmill
