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

/// Counts of the callers' answers. `refused` counts answers with status 503 and "ran": "no";
/// `other` counts all that are neither served nor refused in this way.
struct AnswerCounts
{
    std::atomic<unsigned> served{0};
    std::atomic<unsigned> refused{0};
    std::atomic<unsigned> other{0};
};

void call(const RouterProcess &router, AnswerCounts &counts)
{
    httplib::Client client(router.callersUrl());
    client.set_bearer_token_auth(ApiKey);
    const std::string body = R"({"model":"reed","prompt":"p","max_tokens":4,"temperature":0})";
    const auto result = client.Post("/v1/completions", body, "application/json");
    if (result && result->status == 200) {
        ++counts.served;
        return;
    }
    const bool refusedUnexecuted =
            result && result->status == 503 && nlohmann::json::parse(result->body)["ran"] == "no";
    ++(refusedUnexecuted ? counts.refused : counts.other);
}

AnswerCounts &callConcurrently(const RouterProcess &router, AnswerCounts &counts)
{
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < Callers; ++i)
        callers.emplace_back([&] { call(router, counts); });
    for (std::thread &caller : callers)
        caller.join();
    return counts;
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

TEST(Overload, RefusedRequestsAreNotExecuted)
{
    Site site(1, 0, slowEngine());
    site.inventory().models[0].maxInFlight = 1;
    site.submit();
    RouterProcess router(site.platformUrl(), "[timeouts]\nqueue_wait = \"500ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    AnswerCounts counts;
    callConcurrently(router, counts);
    EXPECT_EQ(counts.other, 0U);
    EXPECT_GT(counts.refused, 0U);
    EXPECT_EQ(counts.served + counts.refused, Callers);
    EXPECT_EQ(startedAt(site), counts.served);
}

TEST(Overload, QueuedRequestsAreServedOnceASlotIsFree)
{
    Site site(1, 0, slowEngine());
    site.inventory().models[0].maxInFlight = 1;
    site.submit();
    RouterProcess router(site.platformUrl(), "[timeouts]\nqueue_wait = \"60s\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    AnswerCounts counts;
    callConcurrently(router, counts);
    EXPECT_EQ(counts.served, Callers);
}

} // namespace almondmill::test
