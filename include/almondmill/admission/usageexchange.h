#pragma once

#include "almondmill/admission/accountusage.h"

#include <cstddef>
#include <span>
#include <vector>

namespace almondmill {

/// Client accounts' demand as heartbeats carry it. Never on the path of a request.
class UsageExchange
{
public:
    virtual ~UsageExchange() = default;

    /// Takes out half of what is held, for one peer, of at most so many accounts: those closest to
    /// their limits first. What is taken out must be sent once, or is lost.
    virtual std::vector<AccountUsage> takeForPeer(std::size_t mostAccounts) = 0;

    /// Adds what a peer took out.
    virtual void addFromPeer(std::span<const AccountUsage> usage) = 0;
};

} // namespace almondmill
