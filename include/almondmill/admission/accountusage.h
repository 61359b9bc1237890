#pragma once

#include <cstdint>

namespace almondmill {

/// A portion of one account's estimated demand, which a router sends to a peer with a heartbeat.
/// The exchange leaves the fleet-wide sums of demand and weight unchanged, and the ratio of demand
/// to weight at each router converges to the mean demand per router.
struct AccountUsage
{
    std::uint64_t accountId = 0; ///< Hash of the client account's name.
    float concurrent = 0;
    float tokensPerSecond = 0;
    float weight = 0;
};

} // namespace almondmill
