#include "support/routerprocess.h"
#include "support/site.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill::test {

namespace {

constexpr const char *JsonType = "application/json";

httplib::Client makeCaller(const RouterProcess &router)
{
    httplib::Client client(router.callersUrl());
    client.set_bearer_token_auth(ApiKey);
    return client;
}

std::string completion(bool stream)
{
    return nlohmann::json{{"model", "reed"},
                          {"prompt", std::string(20000, 'x')},
                          {"max_tokens", 8},
                          {"temperature", 0},
                          {"stream", stream}}
            .dump();
}

} // namespace

TEST(WholePath, StreamsACompletionToItsExplicitEnd)
{
    Site site(2, 0);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const auto result = makeCaller(router).Post("/v1/completions", completion(true), JsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_TRUE(result->body.ends_with("data: [DONE]\n\n"));
    EXPECT_NE(result->body.find("id: 8\n"), std::string::npos);
}

TEST(WholePath, AnswersAPlainCompletion)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const auto result = makeCaller(router).Post("/v1/completions", completion(false), JsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(nlohmann::json::parse(result->body)["choices"].size(), 1U);
}

TEST(WholePath, RoutesAPlainServiceByPath)
{
    Site site(0, 1);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const auto result =
            makeCaller(router).Post("/booking/slots", R"({"operation":"b1"})", JsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 200);
    EXPECT_EQ(site.runs("b1"), 1U);
}

TEST(WholePath, RefusesAnUnknownKeyAsNotExecuted)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    httplib::Client caller(router.callersUrl());
    caller.set_bearer_token_auth("another");
    const auto result = caller.Post("/v1/completions", completion(false), JsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 401);
    EXPECT_EQ(nlohmann::json::parse(result->body)["ran"], "no");
}

TEST(WholePath, TerminatesWithExitCodeZero)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl(), "[timeouts]\ndrain_notice = \"50ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    EXPECT_EQ(router.process().terminate(), 0);
}

} // namespace almondmill::test
