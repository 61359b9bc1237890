#include "almondmill/route/routingtable.h"

#include "almondmill/kernel/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

Route routeTo(const std::string &host, const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    route.shares = {{service, 1}};
    return route;
}

RoutingConfiguration twoHosts()
{
    RoutingConfiguration configuration;
    configuration.version = 4;
    configuration.routes = {routeTo("a", "/x/", "short"), routeTo("a", "/x/y/", "long"),
                            routeTo("b", "/", "all")};
    configuration.accounts = {{"one", {"k1", "k2"}, std::nullopt, false}, {"two", {"k3"}, 2, true}};
    return configuration;
}

} // namespace

TEST(RoutingTable, LongestPrefixOfTheHostWins)
{
    const RoutingTable table(twoHosts());
    EXPECT_EQ(table.match("a", "/x/y/z")->shares.front().service, "long");
    EXPECT_EQ(table.match("a", "/x/z")->shares.front().service, "short");
    EXPECT_EQ(table.match("b:8080", "/x/y/")->shares.front().service, "all");
    EXPECT_EQ(table.match("a", "/xy/"), nullptr);
    EXPECT_EQ(table.match("c", "/x/"), nullptr);
}

TEST(RoutingTable, EachKeyOfAnAccountFindsIt)
{
    const RoutingTable table(twoHosts());
    EXPECT_EQ(table.accountOf("k1")->name, "one");
    EXPECT_EQ(table.accountOf("k2")->name, "one");
    EXPECT_EQ(table.accountOf("k3")->name, "two");
    EXPECT_EQ(table.accountOf(""), nullptr);
    EXPECT_EQ(table.accountOf("k4"), nullptr);
}

RC_GTEST_PROP(RoutingTable, RequestsAreSplitByWeight, ())
{
    Route route = routeTo("a", "/", "x");
    const auto first = *rc::gen::inRange<std::uint32_t>(0, 100);
    const auto second = *rc::gen::inRange<std::uint32_t>(1, 100);
    route.shares = {{"x", first}, {"y", second}};
    std::uint32_t toFirst = 0;
    for (std::uint64_t hash = 0; hash < first + second; ++hash)
        toFirst += RoutingTable::serviceFor(route, hash) == "x" ? 1 : 0;
    RC_ASSERT(toFirst == first);
}

TEST(RoutingTable, SelectsTheFirstServiceWhenAllWeightsAreZero)
{
    Route route = routeTo("a", "/", "x");
    route.shares = {{"x", 0}, {"y", 0}};
    EXPECT_EQ(RoutingTable::serviceFor(route, 5), "x");
}

namespace {

RoutingConfiguration withCacheStores(std::initializer_list<KvCacheStore> stores)
{
    RoutingConfiguration configuration;
    for (const KvCacheStore &store : stores) {
        RoutedService service;
        service.name = store.address;
        service.kvCacheStore = store;
        configuration.services.push_back(service);
    }
    return configuration;
}

} // namespace

TEST(RoutingTable, EnginesSaveToTheCacheStoreOfTheirDataCentre)
{
    const RoutingTable table(withCacheStores({{"10.0.0.1:1", "a", 100, 1000},
                                              {"10.0.0.2:1", "b", 100, 2000},
                                              {"10.0.0.3:1", "c", 100, 3000}}));
    EXPECT_EQ(table.kvCacheStoreFor("a")->address, "10.0.0.1:1");
    EXPECT_EQ(table.kvCacheStoreFor("b")->address, "10.0.0.2:1");
    ASSERT_NE(table.kvCacheStoreFor("elsewhere"), nullptr);
    EXPECT_EQ(table.kvCacheStoreFor("elsewhere"), table.kvCacheStoreFor("elsewhere"));
    EXPECT_EQ(table.kvCacheStoreByHash(shortHash("10.0.0.3:1"))->dataCentre, "c");
    EXPECT_EQ(table.kvCacheStoreByHash(shortHash("10.0.0.4:1")), nullptr);
    EXPECT_DOUBLE_EQ(table.kvCacheMegabitsPerSecond(), 6000);
}

TEST(RoutingTable, WithoutCacheStoresThereIsNoneForAnyDataCentre)
{
    const RoutingTable table(withCacheStores({}));
    EXPECT_EQ(table.kvCacheStoreFor("a"), nullptr);
    EXPECT_DOUBLE_EQ(table.kvCacheMegabitsPerSecond(), 0);
}

} // namespace almondmill::test
