#include "almondmill/store/circuit.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

bool Circuit::allow(SteadyTime now)
{
    switch (m_state) {
    case State::Closed:
        return true;
    case State::Recovering:
        return takeToken(now);
    case State::Open:
        break;
    }
    const bool probeUnderWay = m_probing && now < m_probeStarted + ProbeLimit;
    if (probeUnderWay || now < m_nextProbe)
        return false;
    m_probing = true;
    m_probeStarted = now;
    return true;
}

void Circuit::succeeded(SteadyTime now)
{
    m_failures = 0;
    if (m_state != State::Open)
        return;
    m_state = State::Recovering;
    m_probing = false;
    m_backOff = ShortestBackOff;
    m_recoveringSince = now;
    m_tokensAt = now;
    m_tokens = 1;
}

void Circuit::failed(SteadyTime now, double jitter)
{
    ++m_failures;
    if (m_state == State::Closed && m_failures < FailuresToOpen)
        return;
    // A call that went out before the circuit opened says nothing about the probe.
    if (m_state == State::Open && !m_probing)
        return;
    open(now, jitter);
}

void Circuit::open(SteadyTime now, double jitter)
{
    if (m_state == State::Open)
        m_backOff = std::min(m_backOff * 2, LongestBackOff);
    m_state = State::Open;
    m_probing = false;
    const auto length = static_cast<double>(m_backOff.count());
    const auto wait = std::llround(length * (1 + jitter) / 2);
    m_nextProbe = now + std::chrono::milliseconds(wait);
}

bool Circuit::takeToken(SteadyTime now)
{
    const double rate = recoveryRate(now);
    if (rate > LastRecoveryRate) {
        m_state = State::Closed;
        return true;
    }
    const std::chrono::duration<double> passed = now - m_tokensAt;
    m_tokensAt = now;
    m_tokens = std::min(m_tokens + passed.count() * rate, std::max(1.0, rate / 10));
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

double Circuit::recoveryRate(SteadyTime now) const
{
    const auto steps = (now - m_recoveringSince) / RecoveryStep;
    return std::ldexp(FirstRecoveryRate, static_cast<int>(std::min<std::int64_t>(steps, 30)));
}

} // namespace almondmill
