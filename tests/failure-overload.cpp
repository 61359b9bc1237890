#include "support/routerprocess.h"
#include "support/site.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>

namespace almondmill::test {

namespace {

constexpr unsigned Callers = 8;

/// What callers got, and whether each refusal was truthful in form.
struct Tally
{
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> other{0};
};

void call(const RouterProcess &router, Tally &tally)
{
    httplib::Client client(router.callersUrl());
    client.set_bearer_token_auth(ApiKey);
    const std::string body = R"({"model":"reed","prompt":"p","max_tokens":4,"temperature":0})";
    const auto result = client.Post("/v1/completions", body, "application/json");
    if (result && result->status == 200) {
        ++tally.served;
        return;
    }
    const bool truthful =
            result && result->status == 503 && nlohmann::json::parse(result->body)["ran"] == "no";
    ++(truthful ? tally.refused : tally.other);
}

Tally &callAtOnce(const RouterProcess &router, Tally &tally)
{
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < Callers; ++i)
        callers.emplace_back([&] { call(router, tally); });
    for (std::thread &caller : callers)
        caller.join();
    return tally;
}

unsigned startedAt(const Site &site)
{
    httplib::Client client("http://" + site.engineAddress(0));
    const auto result = client.Get("/v1/status");
    return nlohmann::json::parse(result->body)["started"];
}

standin::EngineOptions slowEngine()
{
    standin::EngineOptions options;
    options.prefillPerBlock = std::chrono::milliseconds(400);
    return options;
}

} // namespace

TEST(Overload, RefusalsSayTrulyThatTheRequestDidNotRun)
{
    Site site(1, 0, slowEngine());
    site.inventory().models[0].maxInFlight = 1;
    site.submit();
    RouterProcess router(site.platformUrl(), "[timeouts]\nqueue_wait = \"500ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    Tally tally;
    callAtOnce(router, tally);
    EXPECT_EQ(tally.other, 0U);
    EXPECT_GT(tally.refused, 0U);
    EXPECT_EQ(tally.served + tally.refused, Callers);
    EXPECT_EQ(startedAt(site), tally.served);
}

TEST(Overload, WaitingRequestsAreServedOnceThereIsRoom)
{
    Site site(1, 0, slowEngine());
    site.inventory().models[0].maxInFlight = 1;
    site.submit();
    RouterProcess router(site.platformUrl(), "[timeouts]\nqueue_wait = \"60s\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    Tally tally;
    callAtOnce(router, tally);
    EXPECT_EQ(tally.served, Callers);
}

} // namespace almondmill::test
