#include "almondmill/forward/endpointpace.h"

#include <algorithm>
#include <array>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Share of the slots that are used at first.
constexpr std::uint32_t InitialSlotsDivisor = 2;

/// Lower bound of the first limit, so that one long request does not keep others out.
constexpr std::uint32_t MinInitialLimit = 2;

/// Upper bound of the slots taken into account; a registration may name any number.
constexpr std::uint32_t MaxSlots = 1U << 20U;

/// Each reduction doubles the time in which the limit grows without news, up to 4 s: an endpoint
/// that still has trouble is asked again by few requests.
constexpr std::uint32_t MaxStepDoublings = 3;

/// Least limit of an endpoint that answers late: it does work.
constexpr std::uint32_t LowestOfAnswering = 1;

/// Least limit of an endpoint that rejects requests or leaves them unanswered. Rejections are fast,
/// so a bound on open requests doesn't bound them: nothing is sent for one step.
constexpr std::uint32_t LowestOfFailing = 0;

} // namespace

const char *nameOf(PaceCause cause)
{
    constexpr std::array Names{"start", "pause", "failures"};
    return Names.at(static_cast<std::size_t>(cause));
}

EndpointPace::EndpointPace(std::uint32_t slots)
    : m_slots(std::clamp(slots, 1U, MaxSlots))
    , m_limit(fullLimit())
{}

std::uint32_t EndpointPace::initialLimit() const
{
    return std::max(m_slots / InitialSlotsDivisor, MinInitialLimit);
}

milliseconds EndpointPace::stepTime() const
{
    const auto step = m_cause == PaceCause::Pause ? PauseStep : StartStep;
    return step * (1U << std::min(m_cuts, MaxStepDoublings));
}

std::uint32_t EndpointPace::stepsSince(SteadyTime now) const
{
    if (now <= m_changedAt)
        return 0;
    // More steps than bits of the limit make no difference.
    constexpr std::int64_t MaxSteps = 31;
    return static_cast<std::uint32_t>(
            std::min<std::int64_t>((now - m_changedAt) / stepTime(), MaxSteps));
}

std::uint32_t EndpointPace::limitAt(SteadyTime now) const
{
    const std::uint32_t steps = stepsSince(now);
    const bool isClosed = m_limit == 0;
    if (isClosed && steps == 0)
        return 0;
    const std::uint64_t grown =
            isClosed ? std::uint64_t(1) << (steps - 1) : std::uint64_t(m_limit) << steps;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(grown, fullLimit()));
}

bool EndpointPace::isInForce(SteadyTime now) const
{
    return limitAt(now) < fullLimit();
}

SteadyTime EndpointPace::nextStepAt(SteadyTime now) const
{
    return m_changedAt + stepTime() * (stepsSince(now) + 1);
}

void EndpointPace::advance(SteadyTime now)
{
    const std::uint32_t steps = stepsSince(now);
    m_limit = limitAt(now);
    m_changedAt += stepTime() * steps;
}

void EndpointPace::restart(std::uint32_t limit, SteadyTime from)
{
    m_limit = limit;
    m_changedAt = from;
    m_windowAt = from;
    m_goodAnswers = 0;
}

void EndpointPace::begin(PaceCause cause, SteadyTime from)
{
    m_cause = cause;
    m_cuts = 0;
    m_cutAt = from;
    m_failuresInRow = 0;
    m_isLocal = cause == PaceCause::Failures;
    if (!m_isLocal)
        ++m_period;
    // Others begin the period on their own. A report in a pause would begin it there before its
    // end.
    m_hasUnsent = false;
    m_hasBegun = true;
    restart(initialLimit(), from);
}

void EndpointPace::postpone(SteadyTime from)
{
    m_cuts = 0;
    m_cutAt = from;
    restart(initialLimit(), from);
}

void EndpointPace::recordGoodAnswer(SteadyTime sentAt, const RouterPlace &place, SteadyTime now)
{
    m_failuresInRow = 0;
    if (sentAt < m_windowAt || !isInForce(now))
        return;
    advance(now);
    const std::uint32_t share = shareOf(m_limit, place);
    // A router without a share sends only where every endpoint is paced; all of them together then
    // answer for one doubling.
    if (++m_goodAnswers < (share > 0 ? share : m_limit))
        return;
    restart(std::clamp(2 * m_limit, 1U, fullLimit()), now);
    m_hasUnsent = !m_isLocal;
}

void EndpointPace::reduce(std::uint32_t lowest, SteadyTime now)
{
    advance(now);
    ++m_cuts;
    m_cutAt = now;
    restart(std::max(m_limit / 2, lowest), now);
}

bool EndpointPace::recordLateAnswer(SteadyTime sentAt, SteadyTime now)
{
    m_failuresInRow = 0;
    return reduceShared(sentAt, LowestOfAnswering, now);
}

bool EndpointPace::reduceShared(SteadyTime sentAt, std::uint32_t lowest, SteadyTime now)
{
    if (sentAt < m_cutAt || !isInForce(now))
        return false;
    reduce(lowest, now);
    m_hasUnsent = !m_isLocal;
    return true;
}

bool EndpointPace::recordUnpacedFailure(SteadyTime now)
{
    if (++m_failuresInRow < MaxFailures)
        return false;
    begin(PaceCause::Failures, now);
    return true;
}

bool EndpointPace::recordFailure(SteadyTime sentAt, SteadyTime now)
{
    if (!isInForce(now))
        return recordUnpacedFailure(now);
    if (sentAt < m_cutAt)
        return false;
    reduce(LowestOfFailing, now);
    m_isLocal = true;
    m_hasUnsent = false;
    return true;
}

bool EndpointPace::recordRejection(SteadyTime sentAt, SteadyTime now)
{
    return isInForce(now) ? reduceShared(sentAt, LowestOfFailing, now) : recordUnpacedFailure(now);
}

bool EndpointPace::merge(const PaceReport &report, SteadyTime now)
{
    const bool isLaterPeriod = report.period > m_period;
    if (m_isLocal && isInForce(now) && !isLaterPeriod)
        return false;
    const bool wasInForce = isInForce(now);
    if (!PaceReport{m_period, m_cuts, m_limit}.isGreaterThan(report))
        m_hasUnsent = false;
    if (!report.isGreaterThan({m_period, m_cuts, limitAt(now)}))
        return false;
    const bool isCut = isLaterPeriod || report.cuts > m_cuts;
    m_period = report.period;
    m_cuts = report.cuts;
    m_isLocal = false;
    if (isCut)
        m_cutAt = std::max(m_cutAt, now);
    restart(std::min(report.limit, fullLimit()), std::max(now, m_changedAt));
    m_hasBegun = m_hasBegun || isInForce(now);
    return !wasInForce && isInForce(now);
}

std::optional<PaceReport> EndpointPace::unsent() const
{
    if (!m_hasUnsent)
        return std::nullopt;
    return PaceReport{m_period, m_cuts, m_limit};
}

bool EndpointPace::takeEnded(SteadyTime now)
{
    if (!m_hasBegun || isInForce(now))
        return false;
    m_hasBegun = false;
    return true;
}

} // namespace almondmill
