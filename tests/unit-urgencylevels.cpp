// Guards against urgent requests that wait at an engine behind less urgent ones of the same
// account: an account's priority replaced that of the route, so all its requests looked alike.

#include "almondmill/route/routingconfiguration.h"
#include "almondmill/route/urgencylevels.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

Route routeWith(std::uint32_t priority)
{
    Route route;
    route.priority = priority;
    return route;
}

KeyedAccount accountWith(std::optional<std::uint32_t> priority)
{
    KeyedAccount account;
    account.priority = priority;
    return account;
}

const Route Urgent = routeWith(0);
const Route Slow = routeWith(2);

} // namespace

TEST(UrgencyLevels, OrderTheRoutesOfOneAccount)
{
    const KeyedAccount account = accountWith(1);
    RoutingConfiguration configuration;
    configuration.routes = {Urgent, Slow};
    configuration.accounts = {account};
    const UrgencyLevels levels(configuration);
    EXPECT_LT(levels.levelOf(Urgent, &account), levels.levelOf(Slow, &account));
}

TEST(UrgencyLevels, PutTheAccountsPriorityFirst)
{
    const KeyedAccount first = accountWith(0);
    const KeyedAccount second = accountWith(1);
    const KeyedAccount plain = accountWith(std::nullopt);
    RoutingConfiguration configuration;
    configuration.routes = {Urgent, Slow};
    configuration.accounts = {first, second, plain};
    const UrgencyLevels levels(configuration);
    EXPECT_LT(levels.levelOf(Slow, &first), levels.levelOf(Urgent, &second));
    EXPECT_EQ(levels.levelOf(Urgent, &plain), 0U);
    EXPECT_EQ(levels.levelOf(Urgent, nullptr), 0U);
    EXPECT_LT(levels.levelOf(Slow, &second), levels.levelOf(Slow, &plain));
}

TEST(UrgencyLevels, AreThePrioritiesWhereNoneIsHidden)
{
    const KeyedAccount account = accountWith(1);
    const Route route = routeWith(3);
    RoutingConfiguration configuration;
    configuration.routes = {route, route};
    configuration.accounts = {account};
    const UrgencyLevels levels(configuration);
    EXPECT_EQ(levels.levelOf(route, &account), 1U);
    EXPECT_EQ(levels.levelOf(route, nullptr), 3U);
    EXPECT_EQ(levels.levelOf(routeWith(12), nullptr), UrgencyLevels::Count - 1);
}

TEST(UrgencyLevels, KeepTheOrderWhenThereAreMorePairsThanLevels)
{
    RoutingConfiguration configuration;
    for (std::uint32_t priority = 0; priority < 6; ++priority) {
        configuration.routes.push_back(routeWith(priority));
        configuration.accounts.push_back(accountWith(priority));
    }
    const UrgencyLevels levels(configuration);
    std::uint32_t last = 0;
    for (const KeyedAccount &account : configuration.accounts) {
        for (const Route &route : configuration.routes) {
            const std::uint32_t level = levels.levelOf(route, &account);
            EXPECT_GE(level, last);
            last = level;
        }
    }
    EXPECT_LT(last, UrgencyLevels::Count);
    EXPECT_GT(last, UrgencyLevels::Count / 2);
}

} // namespace almondmill::test
