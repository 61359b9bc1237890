#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include "almondmill/config/watchers.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace almondmill::test {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr const char *ThreadLimitSettings = "[limits]\nmax_requests = 50\ncaller_threads = 100\n";

Json dumpOf(const RouterProcess &router)
{
    httplib::Client client(router.operatorsUrl());
    const auto result = client.Get("/dump");
    return result ? Json::parse(result->body) : Json::object();
}

/// Requests a completion from the router. Returns the HTTP status, or 0 without an answer.
int requestCompletion(const RouterProcess &router)
{
    httplib::Client caller(router.callersUrl());
    caller.set_bearer_token_auth(ApiKey);
    const auto answer =
            caller.Post("/v1/completions", R"({"model":"reed","prompt":"voicing","max_tokens":2})",
                        "application/json");
    return answer ? answer->status : 0;
}

bool waitForVersion(const RouterProcess &router, std::uint64_t version)
{
    return waitUntil([&] { return dumpOf(router).value("config_version", 0U) == version; });
}

} // namespace

TEST(Restart, ASubmittedChangeIsInForceAtThreeRouters)
{
    Site site(1, 0);
    const std::array<RouterProcess, 3> routers{RouterProcess(site.platformUrl()),
                                               RouterProcess(site.platformUrl()),
                                               RouterProcess(site.platformUrl())};
    for (const RouterProcess &router : routers)
        ASSERT_TRUE(waitForVersion(router, 1));
    site.rules().clientAccounts.front().maxConcurrent = 7;
    const std::uint64_t version = site.submit();
    for (const RouterProcess &router : routers)
        EXPECT_TRUE(waitForVersion(router, version));
}

TEST(Restart, WithPlatformAndPeersUnavailableARouterReportsWhyAndServesAtTheFirstAnswer)
{
    Site site(1, 0);
    site.platform().setFault(standin::FaultMode::Outage);
    const RouterProcess router(site.platformUrl());
    httplib::Client operators(router.operatorsUrl());
    ASSERT_TRUE(waitUntil([&] {
        const auto ready = operators.Get("/readyz");
        return ready && ready->status == 503;
    }));
    EXPECT_TRUE(waitUntil([&] {
        const Json dump = dumpOf(router);
        return dump["parts"]["configuration"].value("platform_answer", "") == "status 503";
    }));
    site.platform().setFault(standin::FaultMode::None);
    EXPECT_TRUE(router.waitUntilReady());
    EXPECT_EQ(requestCompletion(router), StatusOk);
}

TEST(Restart, WithThePlatformDownARouterStartsFromAPeer)
{
    Site site(1, 0);
    const RouterProcess peer(site.platformUrl());
    ASSERT_TRUE(waitForVersion(peer, 1));
    RouterProcess router(site.platformUrl(), {}, {peer.peersAddress()});
    ASSERT_TRUE(waitForVersion(router, 1));
    site.platform().setFault(standin::FaultMode::Outage);
    router.restart();
    ASSERT_TRUE(router.waitUntilReady());
    EXPECT_EQ(requestCompletion(router), StatusOk);
}

TEST(Restart, AChangeIsInForceWhileAllWatchersAreFrozen)
{
    constexpr std::size_t Routers = 6;
    Site site(1, 0);
    std::vector<std::unique_ptr<RouterProcess>> routers;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < Routers; ++i) {
        routers.push_back(
                std::make_unique<RouterProcess>(site.platformUrl(), ThreadLimitSettings, seeds));
        seeds.push_back(routers.back()->peersAddress());
    }
    const auto watchers = [&] {
        std::vector<RouterProcess *> found;
        for (const auto &router : routers) {
            if (dumpOf(*router)["parts"]["configuration"].value("watcher", true))
                found.push_back(router.get());
        }
        return found;
    };
    for (const auto &router : routers)
        ASSERT_TRUE(waitForVersion(*router, 1));
    ASSERT_TRUE(waitUntil([&] { return watchers().size() == WatchersPerDataCentre; }));
    const auto frozen = watchers();
    for (RouterProcess *router : frozen)
        router->process().signal(SIGSTOP);
    const std::uint64_t version = site.submit();
    for (const auto &router : routers) {
        const bool isFrozen = std::find(frozen.begin(), frozen.end(), router.get()) != frozen.end();
        EXPECT_TRUE(isFrozen || waitForVersion(*router, version));
    }
    for (RouterProcess *router : frozen) {
        router->process().signal(SIGCONT);
        EXPECT_TRUE(waitForVersion(*router, version));
    }
}

TEST(Restart, AResumedRouterAppliesTheNewestVersion)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(waitForVersion(router, 1));
    router.process().signal(SIGSTOP);
    site.rules().clientAccounts.front().maxConcurrent = 7;
    site.submit();
    const std::uint64_t version = site.submit();
    router.process().signal(SIGCONT);
    EXPECT_TRUE(waitForVersion(router, version));
}

} // namespace almondmill::test
