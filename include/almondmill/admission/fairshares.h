#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <string>

namespace almondmill {

/// How an account's demand compares with its fair share of a service.
enum class AccountShare {
    Even,      ///< All accounts get what they ask for.
    Within,    ///< Another account asks for more than its fair share.
    Exceeding, ///< The account asks for more than its fair share.
};

/// The demand of each account for a service at this router, and which accounts ask for more than
/// their fair share of it. Shares are max-min fair: accounts that ask for less than an equal share
/// leave the rest to the others.
class FairShares
{
public:
    /// Records a request that takes a slot for `slotTime`.
    void record(const std::string &account, std::chrono::duration<double> slotTime, SteadyTime now);

    /// The account's share when `slots` slots serve the requests of this router. Takes
    /// O(n log n) time in the number of accounts seen lately.
    AccountShare shareOf(const std::string &account, double slots, SteadyTime now) const;

private:
    /// Slot time asked for, with weights that fade.
    struct Demand
    {
        double slotSeconds = 0;
        SteadyTime updatedAt;
    };

    double slotsAskedFor(const Demand &demand, SteadyTime now) const;
    void forgetIdle(SteadyTime now);

    absl::flat_hash_map<std::string, Demand> m_demands;
    SteadyTime m_cleanedAt;
};

} // namespace almondmill
