#pragma once

#include "almondmill/admission/accountusage.h"

#include <cstddef>
#include <span>
#include <vector>

namespace almondmill {

/// Exchanges client accounts' demand with peers by heartbeats. Not used on the request path.
class UsageExchange
{
public:
    virtual ~UsageExchange() = default;

    /// Takes out half of the held demand of at most `maxAccounts` accounts, for one peer. Accounts
    /// closest to their limits come first. The result must be sent exactly once; if it is not sent,
    /// this portion of the estimate is lost.
    virtual std::vector<AccountUsage> takeForPeer(std::size_t maxAccounts) = 0;

    /// Adds the demand received from a peer.
    virtual void addFromPeer(std::span<const AccountUsage> usage) = 0;
};

} // namespace almondmill
