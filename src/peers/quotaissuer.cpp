#include "almondmill/peers/quotaissuer.h"

#include "almondmill/peers/fleetreach.h"
#include "almondmill/peers/permitissuers.h"
#include "almondmill/peers/quotamessages.h"
#include "almondmill/route/accountquota.h"

#include <algorithm>
#include <cmath>

namespace almondmill {

namespace {

using std::chrono::milliseconds;

/// Part of the rate that the second owner issues while the first one answers it. Few routers ask
/// it then: those that lost three datagrams in a row.
constexpr double StandbyShare = 0.02;

/// A new issuer's share grows from the standby share to its full one in this time. Meanwhile the
/// last issuer may still answer some routers, and probes show which part of the fleet is in reach.
constexpr milliseconds RampTime{1500};

/// A first owner that has run for this time would have been asked if the account had been used.
constexpr milliseconds SettledTime{10'000};

/// What a new bucket of another issuer holds, in seconds of the rate: when the asking router knows
/// the level of the last issuer's bucket at least that low, and when it knows nothing.
constexpr double KnownStartSeconds = 0.5;
constexpr double UnknownStartSeconds = 0.25;

/// Small token quotas start with this number of tokens, so that the first large prompt of an
/// account isn't refused.
constexpr double KnownStartTokens = 30'000;
constexpr double UnknownStartTokens = 20'000;

/// After this time without a question another router may have issued.
constexpr milliseconds IdleTime{1000};

/// Level, as a part of the burst, below which it matters which part of the fleet is in reach.
constexpr double ReachLevel = 0.5;

double startLevel(const QuotaQuestion &question, const AccountQuota &quota)
{
    const bool isKnown = question.knownLevel.has_value();
    const double bySeconds = quota.perSecond * (isKnown ? KnownStartSeconds : UnknownStartSeconds);
    const double byTokens = isKnown ? KnownStartTokens : UnknownStartTokens;
    const double start =
            quota.countsTokens ? std::max(bySeconds, byTokens) : std::max(bySeconds, 1.0);
    const double bounded = std::min(start, quota.burst);
    return isKnown ? std::min(bounded, static_cast<double>(*question.knownLevel)) : bounded;
}

double ramp(SteadyTime since, SteadyTime now)
{
    const double passed =
            std::chrono::duration<double>(now - since) / std::chrono::duration<double>(RampTime);
    return std::clamp(passed, StandbyShare, 1.0);
}

} // namespace

QuotaIssuer::QuotaIssuer(const PermitIssuers &issuers, FleetReach &reach)
    : m_issuers(issuers)
    , m_reach(reach)
{}

QuotaReply QuotaIssuer::answer(const QuotaQuestion &question, const AccountQuota *quota,
                               SteadyTime now)
{
    QuotaReply reply;
    reply.id = question.id;
    reply.isIssuer = m_issuers.rankOf(question.account) != PermitIssuers::Rank::None;
    if (!reply.isIssuer)
        return reply;
    if (!quota) {
        m_buckets.erase(question.account);
        reply.grantedRequests = (1U << QuotaQuestion::MaxRequests) - 1;
        return reply;
    }
    Bucket &entry = bucketOf(question, *quota, now);
    QuotaBucket &bucket = entry.bucket;
    const double part = share(question.account, entry.createdAt, now);
    bucket.refill(*quota, part, now);
    for (std::size_t index = 0; index < question.amounts.size(); ++index) {
        if (bucket.take(question.amounts[index], *quota))
            reply.grantedRequests |= 1U << index;
        else
            reply.returnAfter = bucket.nextReturn(question.amounts[index], *quota, part, now);
    }
    reply.credit = toMessageAmount(std::floor(bucket.takeCredit(question.creditWanted, *quota)));
    reply.level = toMessageAmount(bucket.level());
    if (bucket.level() < ReachLevel * quota->burst)
        m_reach.want(now);
    return reply;
}

QuotaIssuer::Bucket &QuotaIssuer::bucketOf(const QuotaQuestion &question, const AccountQuota &quota,
                                           SteadyTime now)
{
    const bool isSettled = m_issuers.rankOf(question.account) == PermitIssuers::Rank::First
                           && now - m_issuers.startedAt() > SettledTime;
    const double level =
            isSettled ? question.knownLevel.value_or(quota.burst) : startLevel(question, quota);
    const auto [found, isNew] =
            m_buckets.try_emplace(question.account, Bucket{QuotaBucket(level, now), now, now});
    Bucket &entry = found->second;
    const bool wasIdle = now - entry.askedAt > IdleTime;
    entry.askedAt = now;
    // Another issuer may have been asked meanwhile, whose level this router's askers know.
    if (wasIdle && question.knownLevel)
        entry.bucket.limitTo(*question.knownLevel);
    if (wasIdle && m_issuers.rankOf(question.account) == PermitIssuers::Rank::Standby)
        entry.bucket = QuotaBucket(startLevel(question, quota), now);
    return entry;
}

double QuotaIssuer::share(std::uint64_t account, SteadyTime createdAt, SteadyTime now)
{
    if (m_issuers.rankOf(account) == PermitIssuers::Rank::First)
        return ramp(createdAt, now) * m_reach.fraction(now);
    const std::string first = m_issuers.ownersOf(account).front();
    m_reach.check(first, now);
    const auto since = m_reach.unansweredSince(first);
    if (!since)
        return StandbyShare;
    m_reach.want(now);
    return ramp(*since, now) * m_reach.fraction(now);
}

} // namespace almondmill
