#include "almondmill/peers/quotabucket.h"

#include "almondmill/peers/quotareturns.h"
#include "almondmill/route/accountquota.h"

#include <algorithm>

namespace almondmill {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Level, as a part of the burst, above which credit is given.
constexpr double CreditLevel = 0.75;

/// Part of what is above that level that one router gets.
constexpr double CreditPart = 0.25;

/// Requests that may come back for one amount. More than one, because a router may have no request
/// when its time comes.
constexpr double ReturnsPerAmount = 2;

/// Weight of one request in the mean amount, which covers about the last twenty.
constexpr double MeanWeight = 0.05;

/// Part of the mean amount that the bucket has to hold. Less than all of it, since requests may
/// leave a debt, and a small quota would refuse requests that it has tokens for.
constexpr double NeededRatio = 0.6;

/// A share of nothing would make the return time infinite.
constexpr double SmallestShare = 0.02;

} // namespace

QuotaBucket::QuotaBucket(double level, SteadyTime now)
    : m_level(level)
    , m_filledAt(now)
    , m_lastReturn(now)
{}

void QuotaBucket::refill(const AccountQuota &quota, double share, SteadyTime now)
{
    const double added = quota.perSecond * share * Seconds(now - m_filledAt).count();
    m_level = std::min(m_level + std::max(added, 0.0), quota.burst);
    m_filledAt = std::max(now, m_filledAt);
}

double QuotaBucket::neededLevel(const AccountQuota &quota) const
{
    return std::min(NeededRatio * m_meanAmount, quota.burst);
}

bool QuotaBucket::take(double amount, const AccountQuota &quota)
{
    const bool isFirst = m_meanAmount == 0;
    m_meanAmount += (isFirst ? 1 : MeanWeight) * (amount - m_meanAmount);
    if (m_level < neededLevel(quota))
        return false;
    m_level -= amount;
    return true;
}

double QuotaBucket::takeCredit(double wanted, const AccountQuota &quota)
{
    const double spare = (m_level - CreditLevel * quota.burst) * CreditPart;
    const double credit = std::clamp(wanted, 0.0, std::max(spare, 0.0));
    m_level -= credit;
    return credit;
}

milliseconds QuotaBucket::nextReturn(double amount, const AccountQuota &quota, double share,
                                     SteadyTime now)
{
    const double perSecond = quota.perSecond * std::max(share, SmallestShare);
    const double missing = std::max(neededLevel(quota) - m_level, 0.0);
    m_lastReturn = std::max(m_lastReturn + quotaTime(amount / ReturnsPerAmount, perSecond),
                            now + quotaTime(missing, perSecond));
    m_lastReturn = std::min(m_lastReturn, now + LongestQuotaReturn);
    return std::max(std::chrono::ceil<milliseconds>(m_lastReturn - now), milliseconds(1));
}

} // namespace almondmill
