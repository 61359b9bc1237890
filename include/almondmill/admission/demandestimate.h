#pragma once

#include "almondmill/admission/accountusage.h"

namespace almondmill {

/// Estimate of one account's demand over the fleet by push-sum: each router holds a part of the
/// fleet's demand and of its weight, and passes halves on. Not safe for several threads.
class DemandEstimate
{
public:
    struct Demand
    {
        double concurrent = 0;
        double tokensPerSecond = 0;
    };

    const Demand &own() const { return m_own; }

    /// Mean demand of a router, as far as parts have come round.
    Demand mean() const;

    /// Notes this router's demand; a loss of parts is made good little by little.
    void setOwn(const Demand &own);

    /// Takes out half, for a peer.
    AccountUsage takeHalf();
    void add(const AccountUsage &usage);

private:
    Demand m_own;
    Demand m_held;
    double m_weight = 1;
};

} // namespace almondmill
