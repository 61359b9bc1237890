#include "almondmill/admission/accountlimits.h"
#include "almondmill/config/clientaccount.h"
#include "almondmill/config/configuration.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"
#include "almondmill/request/accountadmission.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/requestcontext.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace almondmill {

namespace {

const SteadyTime Start(std::chrono::hours(1));
constexpr std::chrono::milliseconds Period{1000};

ClientAccount makeAccount(std::uint32_t maxConcurrent, std::uint32_t tokensPerSecond)
{
    ClientAccount account;
    account.name = "reeds";
    account.maxConcurrent = maxConcurrent;
    account.promptTokensPerSecond = tokensPerSecond;
    return account;
}

Configuration makeConfiguration(const ClientAccount &account)
{
    Rules rules;
    rules.clientAccounts.push_back(account);
    return Configuration(1, Inventory{}, rules);
}

bool isAdmitted(const AccountLimits::Result &result)
{
    return std::holds_alternative<AccountGrant>(result);
}

/// In each round, every router sends half of its estimate to one other router.
void exchangeHeartbeats(std::vector<AccountLimits> &routers, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < routers.size(); ++i)
            routers[(i + 1 + static_cast<std::size_t>(round)) % routers.size()].addFromPeer(
                    routers[i].takeForPeer(8));
    }
}

} // namespace

TEST(AccountLimits, RefusesRequestsOverTheConcurrencyLimitUntilOneEnds)
{
    AccountLimits limits;
    const ClientAccount account = makeAccount(2, 0);
    const auto first = limits.admit(account, 10, Start);
    {
        const auto second = limits.admit(account, 10, Start);
        EXPECT_TRUE(isAdmitted(second));
        const auto third = limits.admit(account, 10, Start);
        ASSERT_FALSE(isAdmitted(third));
        EXPECT_EQ(std::get<AccountLimit::Verdict>(third), AccountLimit::Verdict::TooManyOpen);
    }
    EXPECT_TRUE(isAdmitted(limits.admit(account, 10, Start)));
}

TEST(AccountLimits, ARefusalForTokensTakesNoSlot)
{
    AccountLimits limits;
    const ClientAccount account = makeAccount(1, 1000);
    for (int i = 0; i < 10; ++i) {
        const auto result = limits.admit(account, 1000, Start);
        EXPECT_EQ(isAdmitted(result), i < 4) << i;
        if (!isAdmitted(result)) {
            EXPECT_EQ(std::get<AccountLimit::Verdict>(result),
                      AccountLimit::Verdict::TooManyTokens);
        }
    }
}

TEST(AccountLimits, AccountsDoNotShareALimit)
{
    AccountLimits limits;
    ClientAccount one = makeAccount(1, 0);
    ClientAccount two = one;
    two.name = "herds";
    const auto first = limits.admit(one, 10, Start);
    EXPECT_TRUE(isAdmitted(limits.admit(two, 10, Start)));
}

TEST(AccountLimits, ARouterWithoutUpdatesFromPeersTakesAnEqualShare)
{
    AccountLimits limits;
    const ClientAccount account = makeAccount(1000000, 1000);
    const Configuration configuration = makeConfiguration(account);
    int admitted = 0;
    for (int second = 0; second < 100; ++second) {
        for (int i = 0; i < 10; ++i) {
            if (isAdmitted(limits.admit(account, 100, Start + second * Period)) && second >= 50)
                ++admitted;
        }
        limits.update(configuration, 10, Period);
    }
    EXPECT_NEAR(admitted, 50, 5); // 50 requests of 100 tokens: a tenth of 1000 tokens/s for 50 s
}

TEST(AccountLimits, TheWholeLimitGoesToTheRouterThatHasAllTheDemand)
{
    std::vector<AccountLimits> routers(10);
    const ClientAccount account = makeAccount(1000000, 1000);
    const Configuration configuration = makeConfiguration(account);
    int admitted = 0;
    for (int second = 0; second < 200; ++second) {
        for (int i = 0; i < 20; ++i) {
            if (isAdmitted(routers[0].admit(account, 100, Start + second * Period))
                && second >= 100)
                ++admitted;
        }
        for (AccountLimits &router : routers)
            router.update(configuration, routers.size(), Period);
        exchangeHeartbeats(routers, 4);
    }
    EXPECT_GE(admitted, 800); // of 1000 that an exact limiter admits in 100 s
    EXPECT_LE(admitted, 1050);
}

TEST(AccountAdmission, ARefusalHasStatus429AndIsNotExecuted)
{
    Node node{Settings{}};
    AccountLimits limits;
    node.accountLimits = &limits;
    const ClientAccount account = makeAccount(1, 0);
    RequestContext context;
    context.account = &account;
    const auto grant = admitByAccount(node, context, 100);
    try {
        admitByAccount(node, context, 100);
        FAIL() << "a second request was admitted";
    } catch (const RefusedError &error) {
        EXPECT_EQ(error.refusal().status, 429);
        EXPECT_EQ(error.refusal().code, "too_many_requests");
        EXPECT_EQ(error.refusal().executed, Executed::No);
    }
}

namespace {

/// Routers with random demand. `setOwn` is called until each router holds just its own demand.
std::vector<DemandEstimate> drawRouters(double &total)
{
    std::vector<DemandEstimate> routers(*rc::gen::inRange<std::size_t>(2, 30));
    for (DemandEstimate &router : routers) {
        const double demand = *rc::gen::inRange(0, 1000);
        total += demand;
        for (int i = 0; i < 2000; ++i)
            router.setOwn({0, demand});
    }
    return routers;
}

} // namespace

RC_GTEST_PROP(DemandEstimateProperty, ExchangesPreserveTheSums, ())
{
    double total = 0;
    auto routers = drawRouters(total);
    for (int i = 0; i < 50; ++i) {
        const auto from = *rc::gen::inRange<std::size_t>(0, routers.size());
        const auto to = *rc::gen::inRange<std::size_t>(0, routers.size());
        routers[to].add(routers[from].takeHalf());
    }
    double demand = 0;
    double weight = 0;
    for (DemandEstimate &router : routers) {
        const AccountUsage half = router.takeHalf();
        demand += 2 * static_cast<double>(half.tokensPerSecond);
        weight += 2 * static_cast<double>(half.weight);
    }
    RC_ASSERT(std::abs(demand - total) <= 0.001 * total + 0.001);
    RC_ASSERT(std::abs(weight - static_cast<double>(routers.size())) <= 0.001);
}

RC_GTEST_PROP(DemandEstimateProperty, ExchangesWithRandomPeersConvergeToTheMean, ())
{
    double total = 0;
    auto routers = drawRouters(total);
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    for (int round = 0; round < 200; ++round) {
        for (DemandEstimate &router : routers) {
            const AccountUsage half = router.takeHalf();
            routers[random() % routers.size()].add(half);
        }
    }
    const double mean = total / static_cast<double>(routers.size());
    for (const DemandEstimate &router : routers)
        RC_ASSERT(std::abs(router.mean().tokensPerSecond - mean) <= 0.01 * mean + 0.01);
}

} // namespace almondmill
