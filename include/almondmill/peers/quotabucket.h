#pragma once

#include "almondmill/kernel/time.h"

#include <algorithm>
#include <chrono>

namespace almondmill {

struct AccountQuota;

/// Token bucket for the amounts that all routers together use of an account's quota, at the router
/// that issues them.
class QuotaBucket
{
public:
    QuotaBucket(double level, SteadyTime now);

    /// Adds what has come in since the last call, at `share` of the quota's rate. What exceeds the
    /// burst is lost, also when the burst has been lowered.
    void refill(const AccountQuota &quota, double share, SteadyTime now);

    /// Takes the amount if the bucket holds most of that of the account's mean request; what it
    /// doesn't hold is left as a debt. So large and small requests of an account are refused alike:
    /// if the amount itself had to be there, small requests would keep the level too low for large
    /// ones.
    bool take(double amount, const AccountQuota &quota);

    /// Takes up to `wanted` for requests that will follow, while the bucket is well filled.
    double takeCredit(double wanted, const AccountQuota &quota);

    /// Lowers the level to that one if it is higher.
    void limitTo(double level) { m_level = std::min(m_level, level); }

    /// Time from `now` until the bucket will hold a mean request. Successive calls return times
    /// that increase with the amounts, so that the requests that were denied come back one after
    /// the other.
    std::chrono::milliseconds nextReturn(double amount, const AccountQuota &quota, double share,
                                         SteadyTime now);

    double level() const { return m_level; }

private:
    /// Level from which on requests are admitted.
    double neededLevel(const AccountQuota &quota) const;

    double m_level;
    double m_meanAmount = 0; ///< Of the latest requests, admitted or not.
    SteadyTime m_filledAt;
    SteadyTime m_lastReturn;
};

} // namespace almondmill
