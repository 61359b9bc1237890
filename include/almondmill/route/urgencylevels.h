#pragma once

#include "almondmill/route/route.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace almondmill {

struct KeyedAccount;
struct RoutingConfiguration;

/// Orders the requests of a configuration by urgency. An account's priority goes before the
/// route's, and among the requests of accounts with the same priority the route's priority decides.
/// Engines accept few priorities, so the pairs that occur are numbered without gaps. Where no
/// account's priority hides that of a route, the priority itself is the level.
class UrgencyLevels
{
public:
    /// Number of levels that engines tell apart; zero is the most urgent.
    static constexpr std::uint32_t Count = 10;

    explicit UrgencyLevels(const RoutingConfiguration &configuration);

    /// Level of a request, below `Count`. `account` is null on public routes. Neighbouring pairs
    /// share a level when the configuration has more pairs than levels.
    std::uint32_t levelOf(const Route &route, const KeyedAccount *account) const;

private:
    /// Priority of the account, else of the route; then priority of the route.
    using Pair = std::pair<std::uint32_t, std::uint32_t>;

    /// Sorted, the most urgent first; empty where the priorities themselves are the levels.
    std::vector<Pair> m_pairs;
};

} // namespace almondmill
