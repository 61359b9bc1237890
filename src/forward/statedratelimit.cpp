#include "almondmill/forward/statedratelimit.h"

#include <algorithm>
#include <limits>

namespace almondmill {

namespace {

double rateOf(const RateLimitStatement &statement)
{
    return statement.perSecond.value_or(std::numeric_limits<double>::infinity());
}

RateLimitChange changeBetween(const RateLimitStatement &before, const RateLimitStatement &after)
{
    if (before.perSecond == after.perSecond)
        return RateLimitChange::None;
    if (!before.perSecond)
        return RateLimitChange::Began;
    return after.perSecond ? RateLimitChange::Changed : RateLimitChange::Ended;
}

} // namespace

const char *nameOf(RateLimitChange change)
{
    switch (change) {
    case RateLimitChange::Began:
        return "began";
    case RateLimitChange::Changed:
        return "changed";
    case RateLimitChange::Ended:
        return "ended";
    case RateLimitChange::None:
        break;
    }
    return "none";
}

RateLimitChange StatedRateLimit::record(const RateLimitStatement &statement)
{
    if (!m_statement && !statement.perSecond)
        return RateLimitChange::None;
    if (!m_statement) {
        m_statement = statement;
        return RateLimitChange::Began;
    }
    RateLimitStatement &known = *m_statement;
    if (statement.perSecond == known.perSecond) {
        known.askedAt = std::max(known.askedAt, statement.askedAt);
        known.heardAt = std::max(known.heardAt, statement.heardAt);
        return RateLimitChange::None;
    }
    const bool isCertainlyOlder = statement.heardAt <= known.askedAt;
    const bool isCertainlyNewer = statement.askedAt > known.heardAt;
    const bool isLower = rateOf(statement) < rateOf(known);
    if (isLower ? isCertainlyOlder : !isCertainlyNewer)
        return RateLimitChange::None;
    const RateLimitChange change = changeBetween(known, statement);
    known = statement;
    return change;
}

std::optional<double> StatedRateLimit::perSecond() const
{
    return m_statement ? m_statement->perSecond : std::nullopt;
}

} // namespace almondmill
