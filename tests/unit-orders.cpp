#include "support/unreliablestore.h"

#include "almondmill/endpoint/endpointset.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/orders/enginecontrol.h"
#include "almondmill/orders/ordercontroller.h"

#include "weightsloader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds LoadTime{600};
constexpr milliseconds OrderTimeout{1000};
constexpr milliseconds LeaseDuration{6000};
constexpr std::uint32_t MaxLoads = 3;

/// In-memory engines with their own clock. Orders can be delayed and delivered late.
class FakeEngines : public EngineControl
{
public:
    FakeEngines(std::size_t count, bool checksFencing)
    {
        for (std::size_t i = 0; i < count; ++i)
            m_loaders.push_back(
                    std::make_unique<standin::WeightsLoader>("w1", LoadTime, checksFencing));
    }

    SteadyTime now{std::chrono::hours(1)};
    std::vector<EngineOrder> delayedOrders;
    bool delaysOrders = false;

    standin::WeightsLoader &loader(const std::string &address)
    {
        return *m_loaders[static_cast<std::size_t>(std::stoul(address))];
    }

    std::size_t loading()
    {
        return static_cast<std::size_t>(
                std::count_if(m_loaders.begin(), m_loaders.end(),
                              [&](const auto &loader) { return loader->loading(now); }));
    }

    bool allServe(const std::string &weights)
    {
        return std::all_of(m_loaders.begin(), m_loaders.end(), [&](const auto &loader) {
            return !loader->loading(now) && loader->weights(now) == weights;
        });
    }

    std::optional<EngineStatus> status(const std::string &address, milliseconds) override
    {
        return EngineStatus{1, loader(address).weights(now), loader(address).loading(now)};
    }

    OrderResult order(const std::string &address, const EngineOrder &order, milliseconds) override
    {
        if (delaysOrders) {
            delayedOrders.push_back(order);
            return OrderUnanswered{"delayed"};
        }
        if (!loader(address).order(order.weights, order.fencing, now))
            return OrderFenced{loader(address).fencing()};
        return OrderAccepted{};
    }

private:
    std::vector<std::unique_ptr<standin::WeightsLoader>> m_loaders;
};

std::shared_ptr<EndpointSet> makeSet(std::size_t engines, const std::string &weights,
                                     const EndpointSet *previous = nullptr)
{
    Inventory inventory;
    Model model;
    model.name = "reed";
    model.weights = weights;
    model.maxConcurrentLoads = MaxLoads;
    inventory.models = {model};
    for (std::size_t i = 0; i < engines; ++i) {
        Endpoint endpoint;
        endpoint.name = "e" + std::to_string(i);
        endpoint.address = std::to_string(i);
        endpoint.model = "reed";
        inventory.endpoints.push_back(endpoint);
    }
    return std::make_shared<EndpointSet>(
            std::make_shared<const Configuration>(1, inventory, Rules{}), previous);
}

/// One router's lease and controller.
struct Holder
{
    Holder(ObjectStore &store, FakeEngines &engines, const std::string &name)
        : lease(store, {"leases/orders", name, 1, LeaseDuration, OrderTimeout, OrderTimeout})
        , controller(lease, engines, metrics, OrderTimeout)
    {}

    Metrics metrics;
    Lease lease;
    OrderController controller;
};

void runRounds(Holder &holder, FakeEngines &engines, const EndpointSet &set, int rounds)
{
    const auto clock = [&] { return engines.now; };
    for (int round = 0; round < rounds; ++round) {
        holder.lease.maintain(clock);
        if (holder.lease.mayOrder(engines.now))
            holder.controller.runRound(set, clock);
        ASSERT_LE(engines.loading(), MaxLoads);
        engines.now += milliseconds(500);
    }
}

} // namespace

TEST(Orders, AllEnginesLoadTheInventorysWeights)
{
    UnreliableStore store;
    FakeEngines engines(10, true);
    Holder holder(store, engines, "a");
    const auto set = makeSet(10, "w2");
    runRounds(holder, engines, *set, 20);
    EXPECT_TRUE(engines.allServe("w2"));
}

TEST(Orders, TheLastServingEndpointGetsNoOrder)
{
    UnreliableStore store;
    FakeEngines engines(1, true);
    Holder holder(store, engines, "a");
    const auto set = makeSet(1, "w2");
    runRounds(holder, engines, *set, 20);
    EXPECT_TRUE(engines.allServe("w1"));
}

TEST(Orders, LateOrderOfAFormerHolderIsRejectedWhenFencingIsChecked)
{
    UnreliableStore store;
    FakeEngines engines(4, true);
    Holder first(store, engines, "a");
    Holder second(store, engines, "b");
    const auto oldSet = makeSet(4, "w2");
    engines.delaysOrders = true;
    runRounds(first, engines, *oldSet, 1);
    engines.delaysOrders = false;
    ASSERT_FALSE(engines.delayedOrders.empty());
    const auto newSet = makeSet(4, "w3");
    runRounds(second, engines, *newSet, 40);
    ASSERT_TRUE(engines.allServe("w3"));
    const EngineOrder late = engines.delayedOrders.front();
    EXPECT_FALSE(engines.loader("0").order(late.weights, late.fencing, engines.now));
    EXPECT_TRUE(engines.allServe("w3"));
}

TEST(Orders, LateOrderOfAFormerHolderIsRevertedWhenFencingIsIgnored)
{
    UnreliableStore store;
    FakeEngines engines(4, false);
    Holder first(store, engines, "a");
    Holder second(store, engines, "b");
    const auto oldSet = makeSet(4, "w2");
    engines.delaysOrders = true;
    runRounds(first, engines, *oldSet, 1);
    engines.delaysOrders = false;
    const auto newSet = makeSet(4, "w3");
    runRounds(second, engines, *newSet, 40);
    const EngineOrder late = engines.delayedOrders.front();
    ASSERT_TRUE(engines.loader("0").order(late.weights, late.fencing, engines.now));
    engines.now += LoadTime;
    ASSERT_FALSE(engines.allServe("w3"));
    // A probe or an answer updates the holder's view of the weights that the engine serves.
    newSet->all().front()->setWeightsHash(hash64("w2"));
    runRounds(second, engines, *newSet, 10);
    EXPECT_TRUE(engines.allServe("w3"));
}

TEST(Orders, NoOrdersAreSentDuringAnOutageLongerThanTheLease)
{
    UnreliableStore store;
    FakeEngines engines(4, true);
    Holder holder(store, engines, "a");
    runRounds(holder, engines, *makeSet(4, "w1"), 1);
    store.setFate(UnreliableStore::Fate::Outage);
    engines.now += LeaseDuration;
    const auto set = makeSet(4, "w2");
    runRounds(holder, engines, *set, 10);
    EXPECT_TRUE(engines.allServe("w1"));
    store.setFate(UnreliableStore::Fate::Normal);
    runRounds(holder, engines, *set, 40);
    EXPECT_TRUE(engines.allServe("w2"));
}

RC_GTEST_PROP(LoadPlanProperty, RespectsItsLimits, ())
{
    std::vector<LoadCandidate> candidates;
    const auto bits = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 64U));
    candidates.reserve(bits.size());
    for (const unsigned bit : bits)
        candidates.push_back({std::to_string(candidates.size()), (bit & 1U) != 0, (bit & 2U) != 0,
                              (bit & 4U) != 0, (bit & 8U) != 0, bit >> 4U});
    const auto limit = *rc::gen::inRange(1U, 6U);
    const auto chosen = planLoads(candidates, limit);
    std::size_t loading = 0;
    std::size_t servingBefore = 0;
    for (const LoadCandidate &candidate : candidates) {
        loading += candidate.loading ? 1 : 0;
        servingBefore += candidate.known && !candidate.loading && candidate.takesWork ? 1 : 0;
    }
    std::size_t orderedServing = 0;
    for (const std::size_t index : chosen) {
        RC_ASSERT(candidates[index].known);
        RC_ASSERT(!candidates[index].loading);
        RC_ASSERT(!candidates[index].hasWeights);
        orderedServing += candidates[index].takesWork ? 1 : 0;
    }
    RC_ASSERT(chosen.empty() || loading + chosen.size() <= limit);
    RC_ASSERT(orderedServing == 0 || orderedServing < servingBefore);
}

} // namespace almondmill::test
