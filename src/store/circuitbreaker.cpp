#include "almondmill/store/circuitbreaker.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

bool CircuitBreaker::allow(SteadyTime now)
{
    switch (m_state) {
    case State::Closed:
        return true;
    case State::Recovering:
        return takeToken(now);
    case State::Open:
        break;
    }
    const bool probeInFlight = m_probing && now < m_probeStarted + ProbeTimeout;
    if (probeInFlight || now < m_nextProbe)
        return false;
    m_probing = true;
    m_probeStarted = now;
    return true;
}

void CircuitBreaker::recordSuccess(SteadyTime now)
{
    m_failures = 0;
    if (m_state != State::Open)
        return;
    m_state = State::Recovering;
    m_probing = false;
    m_backOff = MinBackOff;
    m_recoveringSince = now;
    m_tokensUpdated = now;
    m_tokens = 1;
}

void CircuitBreaker::recordFailure(SteadyTime now, double jitter)
{
    ++m_failures;
    if (m_state == State::Closed && m_failures < FailuresToOpen)
        return;
    // This call was sent before the breaker opened: it is not the result of a probe.
    if (m_state == State::Open && !m_probing)
        return;
    open(now, jitter);
}

void CircuitBreaker::open(SteadyTime now, double jitter)
{
    if (m_state == State::Open)
        m_backOff = std::min(m_backOff * 2, MaxBackOff);
    m_state = State::Open;
    m_probing = false;
    const auto length = static_cast<double>(m_backOff.count());
    const auto wait = std::llround(length * (1 + jitter) / 2);
    m_nextProbe = now + std::chrono::milliseconds(wait);
}

bool CircuitBreaker::takeToken(SteadyTime now)
{
    const double rate = recoveryRate(now);
    if (rate > MaxRecoveryRatePerSecond) {
        m_state = State::Closed;
        return true;
    }
    const std::chrono::duration<double> passed = now - m_tokensUpdated;
    m_tokensUpdated = now;
    // The bucket holds at most 100 ms worth of calls, and at least one.
    m_tokens = std::min(m_tokens + passed.count() * rate, std::max(1.0, rate / 10));
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

double CircuitBreaker::recoveryRate(SteadyTime now) const
{
    const auto steps = (now - m_recoveringSince) / RecoveryDoublingInterval;
    // The bound of 30 doublings keeps the exponent in the range of int; the breaker closes long
    // before.
    return std::ldexp(InitialRecoveryRatePerSecond,
                      static_cast<int>(std::min<std::int64_t>(steps, 30)));
}

} // namespace almondmill
