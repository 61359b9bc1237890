#pragma once

#include <cstdint>

namespace almondmill {

/// A part of one account's demand, passed on between routers with heartbeats. The sums over the
/// fleet of demand and weight stay as they are, whoever passes what to whom; their ratio tends to
/// the mean demand of a router.
struct AccountUsage
{
    std::uint64_t accountId = 0; ///< Hash of the client account's name.
    float concurrent = 0;
    float tokensPerSecond = 0;
    float weight = 0;
};

} // namespace almondmill
