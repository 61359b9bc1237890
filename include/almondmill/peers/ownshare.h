#pragma once

#include "almondmill/kernel/time.h"

#include <optional>

namespace almondmill {

struct AccountQuota;

/// What a router admits of an account on its own while it reaches no issuer: a part of the rate
/// that is mostly smaller than one request. A request is therefore admitted with the probability
/// that the saved part makes of it, so that many such routers together admit their parts.
class OwnShare
{
public:
    /// `part` of the rate is this router's; `random` is from 0 to 1.
    bool take(double amount, const AccountQuota &quota, double part, double random, SteadyTime now);

private:
    double m_saved = 0;
    std::optional<SteadyTime> m_savedAt; ///< Empty before the first request.
};

} // namespace almondmill
