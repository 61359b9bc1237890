#pragma once

#include "almondmill/admission/accountusage.h"

namespace almondmill {

/// Estimate of one account's demand over the fleet by the push-sum protocol: each router holds a
/// portion of the fleet's demand and weight, and sends halves of it to peers. Not thread-safe.
class DemandEstimate
{
public:
    struct Demand
    {
        double concurrent = 0;
        double tokensPerSecond = 0;
    };

    const Demand &own() const { return m_own; }

    /// Mean demand per router, as estimated from the portions exchanged so far.
    Demand mean() const;

    /// Updates this router's demand. Each call also corrects the held demand and weight by a small
    /// fraction, which compensates for portions lost on the network.
    void setOwn(const Demand &own);

    /// Takes out half of the held demand and weight, to be sent to a peer.
    AccountUsage takeHalf();
    void add(const AccountUsage &usage);

private:
    Demand m_own;
    Demand m_held;
    double m_weight = 1;
};

} // namespace almondmill
