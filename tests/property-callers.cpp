#include "support/caller.h"
#include "support/routerprocess.h"
#include "support/site.h"

#include "almondmill/request/modelrequest.h"
#include "almondmill/request/refusederror.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

/// Fragments of JSON. Random bodies are concatenated from them, so that many resemble a completion.
const std::vector<std::string> Fragments{"{",
                                         "}",
                                         "[",
                                         "]",
                                         ",",
                                         ":",
                                         "\"model\"",
                                         "\"reed\"",
                                         "\"prompt\"",
                                         "\"messages\"",
                                         "\"stream\"",
                                         "true",
                                         "null",
                                         "1e999",
                                         "-0",
                                         "\"\\ud800\"",
                                         "\xff",
                                         "\xc0\x80",
                                         "\"x\"",
                                         " ",
                                         "\"temperature\""};

std::string drawBody()
{
    if (*rc::gen::arbitrary<bool>())
        return *rc::gen::arbitrary<std::string>();
    std::string body;
    for (const std::string &fragment :
         *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(Fragments)))
        body += fragment;
    return body;
}

/// Draws a completion request with one member replaced by a random value.
std::string drawDamagedCompletion()
{
    nlohmann::json json = nlohmann::json::parse(CompletionOrder{}.body());
    const auto key = *rc::gen::elementOf(
            std::vector<std::string>{"model", "prompt", "max_tokens", "temperature", "stream"});
    const std::vector<nlohmann::json> values{
            nullptr, -1, 1e300, "", nlohmann::json::array(), nlohmann::json::object()};
    json[key] = *rc::gen::elementOf(values);
    return json.dump();
}

std::string post(const std::string &body)
{
    return "POST /v1/completions HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer "
           + std::string(ApiKey) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + body;
}

} // namespace

RC_GTEST_PROP(BodyProperty, AnyBodyIsParsedOrRefusedAsInvalid, ())
{
    const std::string body = *rc::gen::arbitrary<bool>() ? drawBody() : drawDamagedCompletion();
    try {
        RC_ASSERT(!parseModelRequest(body).model.empty() || !body.empty());
    } catch (const RefusedError &error) {
        RC_ASSERT(error.refusal().status == 400);
        RC_ASSERT(error.refusal().executed == Executed::No);
    }
}

TEST(BodyProperty, ARouterAnswersAnyBytesAndKeepsServing)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    EXPECT_TRUE(rc::check("any body gets a response", [&] {
        const RawCaller caller(router.callersUrl());
        caller.send(post(drawBody()));
        RC_ASSERT(caller.readToEnd().starts_with("HTTP/1.1 4"));
    }));
    EXPECT_TRUE(rc::check("any bytes get a response or a closed connection", [&] {
        const RawCaller caller(router.callersUrl());
        caller.send(*rc::gen::arbitrary<std::string>() + "\r\n\r\n");
        caller.closeSending();
        const std::string answer = caller.readToEnd();
        RC_ASSERT(answer.empty() || answer.starts_with("HTTP/1.1 4"));
    }));
    EXPECT_EQ(askForCompletion(router.callersUrl(), {}).status, 200);
}

} // namespace almondmill::test
