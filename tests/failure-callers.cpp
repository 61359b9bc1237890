#include "support/caller.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <thread>

namespace almondmill::test {

namespace {

constexpr std::uint32_t MaxBodyBytes = 100000;
constexpr std::uint32_t MaxRequests = 20;
constexpr std::uint32_t CallerThreads = 70;

std::string limits()
{
    return "[limits]\nmax_body_bytes = " + std::to_string(MaxBodyBytes)
           + "\nmax_requests = " + std::to_string(MaxRequests)
           + "\ncaller_threads = " + std::to_string(CallerThreads) + "\n";
}

std::string head(const std::string &requestLine, const std::string &moreHeaders)
{
    return requestLine + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + ApiKey + "\r\n"
           + moreHeaders + "\r\n";
}

std::string completionHead(const std::string &moreHeaders)
{
    return head("POST /v1/completions", moreHeaders);
}

/// A router with small limits before one engine.
class Callers : public testing::Test
{
protected:
    Callers()
        : m_site(1, 1)
        , m_router(m_site.platformUrl(), limits())
    {}

    void SetUp() override { ASSERT_TRUE(m_router.waitUntilReady()); }

    /// Sends the bytes unchanged, half-closes the connection if `halfClose`, and returns the
    /// answer.
    std::string answerTo(const std::string &bytes, bool halfClose = false) const
    {
        const RawCaller caller(m_router.callersUrl());
        caller.send(bytes);
        if (halfClose)
            caller.closeSending();
        return caller.readToEnd();
    }

    /// Expects the status, a JSON error with the code and a message, and "ran": "no".
    void expectRefusal(const std::string &answer, int status, const std::string &code) const
    {
        EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + std::to_string(status))) << answer;
        const auto body = answer.find("\r\n\r\n");
        ASSERT_NE(body, std::string::npos) << answer;
        const auto json = nlohmann::json::parse(answer.substr(body + 4), nullptr, false);
        ASSERT_FALSE(json.is_discarded()) << answer;
        EXPECT_EQ(json["error"]["code"], code);
        EXPECT_FALSE(json["error"]["message"].get<std::string>().empty());
        EXPECT_EQ(json["ran"], "no");
    }

    /// Expects that no request reached the engine so far, that the router still serves one, and
    /// that no request stays open.
    void expectUnharmed()
    {
        EXPECT_EQ(m_site.engine(0).started(), 0U);
        EXPECT_EQ(askForCompletion(m_router.callersUrl(), {}).status, 200);
        EXPECT_TRUE(waitUntil([&] { return openRequests() == 0; }));
    }

    unsigned openRequests() const
    {
        httplib::Client client(m_router.operatorsUrl());
        const auto result = client.Get("/dump");
        return result ? nlohmann::json::parse(result->body)["in_flight"].get<unsigned>() : 1;
    }

    Site m_site;
    RouterProcess m_router;
};

} // namespace

TEST_F(Callers, GetAClearErrorForABodyThatIsNoCompletion)
{
    for (const std::string body :
         {"", "{", "[]", "null", "{\"model\":1}", "{\"prompt\":\"x\"}", "{\"model\":\"reed\"}",
          "{\"model\":\"reed\",\"prompt\":7}", "{\"model\":\"reed\",\"messages\":[1]}",
          "{\"model\":\"reed\",\"prompt\":\"x\",\"stream\":\"yes\"}",
          "{\"model\":\"reed\",\"prompt\":\"\xff\xfe\"}"}) {
        const std::string answer = answerTo(completionHead("Connection: close\r\nContent-Length: "
                                                           + std::to_string(body.size()) + "\r\n")
                                            + body);
        expectRefusal(answer, 400, "invalid_request");
    }
    expectUnharmed();
}

TEST_F(Callers, GetAClearErrorForABodyNestedTooDeep)
{
    const std::string nested(MaxBodyBytes / 2 - 100, '[');
    const std::string body = "{\"model\":\"reed\",\"messages\":[{\"content\":" + nested
                             + std::string(nested.size(), ']') + "}]}";
    const std::string answer = answerTo(completionHead("Connection: close\r\nContent-Length: "
                                                       + std::to_string(body.size()) + "\r\n")
                                        + body);
    expectRefusal(answer, 400, "invalid_request");
    expectUnharmed();
}

TEST_F(Callers, GetAnErrorForAnUnknownModel)
{
    const std::string body = R"({"model":"none","prompt":"x"})";
    const std::string answer = answerTo(completionHead("Connection: close\r\nContent-Length: "
                                                       + std::to_string(body.size()) + "\r\n")
                                        + body);
    expectRefusal(answer, 404, "unknown_model");
    expectUnharmed();
}

TEST_F(Callers, AreRefusedByTheHeadersAloneWithoutReadingABody)
{
    const std::string huge = "Content-Length: 99999999999\r\n";
    expectRefusal(answerTo(completionHead(huge)), 413, "body_too_large");
    expectRefusal(answerTo("POST /v1/completions HTTP/1.1\r\n" + huge + "\r\n"), 413,
                  "body_too_large");
    expectRefusal(answerTo("POST /v1/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n"), 401,
                  "unknown_key");
    expectRefusal(answerTo(completionHead("")), 411, "length_required");
    expectRefusal(answerTo(completionHead("Content-Length: 7x\r\n")), 400, "invalid_length");
    expectRefusal(answerTo(completionHead("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")),
                  400, "invalid_framing");
    expectRefusal(answerTo(completionHead("Content-Length: 5\r\nContent-Encoding: gzip\r\n")), 415,
                  "unsupported_encoding");
    expectRefusal(answerTo(head("GET /v1/completions", "")), 405, "method_not_allowed");
    expectRefusal(answerTo(head("OPTIONS /v1/completions", "")), 405, "method_not_allowed");
    expectUnharmed();
}

TEST_F(Callers, AreRefusedWhenTheirHeadersAreTooManyOrTooLong)
{
    std::string many;
    for (int i = 0; i < 200; ++i)
        many += "X-" + std::to_string(i) + ": 1\r\n";
    expectRefusal(answerTo(completionHead(many + "Content-Length: 0\r\n")), 431,
                  "headers_too_large");
    std::string large;
    for (int i = 0; i < 50; ++i)
        large += "X-" + std::to_string(i) + ": " + std::string(4000, 'x') + "\r\n";
    expectRefusal(answerTo(completionHead(large)), 431, "headers_too_large");
    expectRefusal(answerTo("nonsense\r\n\r\n"), 400, "invalid_request");
    expectUnharmed();
}

TEST_F(Callers, CannotPassTheBodyLimitByChunks)
{
    const std::string chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    std::string body;
    for (int i = 0; i < 20; ++i)
        body += chunk;
    expectRefusal(answerTo(completionHead("Transfer-Encoding: chunked\r\n") + body), 413,
                  "body_too_large");
    expectUnharmed();
}

TEST_F(Callers, GetAClearErrorWhenTheyCloseTheirSideInTheMiddleOfABody)
{
    expectRefusal(answerTo(completionHead("Content-Length: 100\r\n") + "{", true), 400,
                  "request_cut");
    expectUnharmed();
}

TEST_F(Callers, GetAClearErrorWhenTheyCloseTheirSideWhileTheAnswerIsComputed)
{
    CompletionOrder order;
    order.tokens = 100000;
    order.stream = false;
    const std::string body = order.body();
    const std::string answer = answerTo(
            completionHead("Content-Length: " + std::to_string(body.size()) + "\r\n") + body, true);
    EXPECT_NE(answer.find("\"caller_closed\""), std::string::npos) << answer;
    EXPECT_TRUE(waitUntil([&] { return m_site.engine(0).cancelled() == 1; }));
    EXPECT_TRUE(waitUntil([&] { return openRequests() == 0; }));
}

TEST_F(Callers, ReadTheListOfModels)
{
    httplib::Client client(m_router.callersUrl());
    client.set_bearer_token_auth(ApiKey);
    const auto result = client.Get("/v1/models");
    ASSERT_TRUE(result);
    EXPECT_EQ(nlohmann::json::parse(result->body)["data"][0]["id"], "reed");
}

TEST_F(Callers, GetTheCompleteAnswerToARangeRequest)
{
    const std::string body = CompletionOrder{}.body();
    const std::string whole = answerTo(completionHead("Connection: close\r\nContent-Length: "
                                                      + std::to_string(body.size()) + "\r\n")
                                       + body);
    const std::string ranged =
            answerTo(completionHead("Connection: close\r\nRange: bytes=0-3\r\nContent-Length: "
                                    + std::to_string(body.size()) + "\r\n")
                     + body);
    EXPECT_EQ(ranged, whole);
}

TEST_F(Callers, BeyondTheRequestLimitAreRefusedWithoutExecutionWhileTheOthersFinish)
{
    CompletionOrder order;
    order.tokens = 200;
    std::vector<std::thread> threads;
    std::atomic<unsigned> complete{0};
    std::atomic<unsigned> refused{0};
    for (unsigned i = 0; i < MaxRequests + 10; ++i) {
        threads.emplace_back([&] {
            const CallerAnswer answer = askForCompletion(m_router.callersUrl(), order);
            complete += answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n") ? 1 : 0;
            refused += answer.status == 503 ? 1 : 0;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    EXPECT_EQ(complete + refused, MaxRequests + 10);
    EXPECT_EQ(m_site.engine(0).started(), complete);
}

TEST_F(Callers, AreServedWhileIdleConnectionsHoldEveryThread)
{
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (std::uint32_t i = 0; i < CallerThreads; ++i)
        idle.push_back(std::make_unique<RawCaller>(m_router.callersUrl()));
    // The connection beyond the limit may be refused; it makes the router close idle ones.
    EXPECT_TRUE(
            waitUntil([&] { return askForCompletion(m_router.callersUrl(), {}).status == 200; }));
}

TEST_F(Callers, OfABurstAreAllAnswered)
{
    // Opens more connections than cpp-httplib's default backlog of 5 holds, before any is accepted.
    m_router.process().signal(SIGSTOP);
    std::vector<std::unique_ptr<RawCaller>> burst;
    for (std::uint32_t i = 0; i < CallerThreads / 2; ++i) {
        burst.push_back(std::make_unique<RawCaller>(m_router.callersUrl()));
        burst.back()->send(head("GET /v1/models", "Connection: close\r\n"));
    }
    m_router.process().signal(SIGCONT);
    for (const auto &caller : burst)
        EXPECT_NE(caller->readToEnd().find("HTTP/1.1"), std::string::npos);
}

} // namespace almondmill::test
