#include "support/rawendpoint.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>

namespace almondmill::test {

namespace {

using Json = nlohmann::json;
using standin::FaultMode;

constexpr const char *JsonType = "application/json";
constexpr const char *Slots = "/booking/slots";

/// Timeouts that a test can wait for: with them a claim is in progress for at most 4.5 s.
constexpr const char *ShortTimeouts = "[timeouts]\nplatform = \"400ms\"\nrequest = \"500ms\"\n";

/// The response that a caller received.
struct CallerResponse
{
    int status = 0; ///< Zero when the router gave no answer.
    std::string body;
    std::string ran; ///< Set in a refusal, otherwise empty.
    std::string code;
    bool replayed = false;
};

CallerResponse toCallerResponse(const httplib::Result &result)
{
    CallerResponse response;
    if (!result)
        return response;
    response.status = result->status;
    response.body = result->body;
    response.replayed = result->get_header_value("Idempotent-Replayed") == "true";
    const Json json = Json::parse(result->body, nullptr, false);
    if (json.is_object() && json.contains("ran")) {
        response.ran = json.at("ran");
        response.code = json.at("error").at("code");
    }
    return response;
}

std::string bodyOf(const std::string &operation)
{
    return Json{{"operation", operation}}.dump();
}

httplib::Client makeCaller(const RouterProcess &router)
{
    httplib::Client client(router.callersUrl());
    client.set_bearer_token_auth(ApiKey);
    client.set_read_timeout(std::chrono::seconds(30));
    return client;
}

/// Sends a booking with a key derived from the operation's name.
CallerResponse book(const RouterProcess &router, const std::string &operation)
{
    const httplib::Headers headers{{"Idempotency-Key", "key-" + operation}};
    return toCallerResponse(makeCaller(router).Post(Slots, headers, bodyOf(operation), JsonType));
}

CallerResponse bookWithoutKey(const RouterProcess &router, const std::string &operation)
{
    return toCallerResponse(makeCaller(router).Post(Slots, bodyOf(operation), JsonType));
}

std::future<CallerResponse> bookInBackground(const RouterProcess &router,
                                             const std::string &operation)
{
    return std::async(std::launch::async, [&router, operation] { return book(router, operation); });
}

/// Repeats a booking until it is answered with status 200.
CallerResponse bookUntilAnswered(const RouterProcess &router, const std::string &operation)
{
    CallerResponse response;
    waitUntil([&] {
        response = book(router, operation);
        return response.status == 200;
    });
    return response;
}

void setServiceFault(const Site &site, const std::string &mode, unsigned delayMs = 0,
                     unsigned times = 1)
{
    httplib::Client client("http://" + site.serviceAddress(0));
    const Json json{{"mode", mode}, {"delay_ms", delayMs}, {"times", times}};
    ASSERT_TRUE(client.Post("/switch", json.dump(), JsonType));
}

bool claimExists(Site &site)
{
    const auto listed = site.platform().store().list("claims/", std::chrono::milliseconds(0));
    return !std::get<ObjectList>(listed).objects.empty();
}

std::uint64_t counter(const RouterProcess &router, const std::string &series)
{
    httplib::Client client(router.operatorsUrl());
    const auto result = client.Get("/metrics");
    const auto found = result ? result->body.find("\n" + series + " ") : std::string::npos;
    if (found == std::string::npos)
        return 0;
    return std::stoull(result->body.substr(found + series.size() + 2));
}

/// Adds an endpoint of the booking service at `address`.
void addService(Site &site, const std::string &name, const std::string &address)
{
    Endpoint endpoint;
    endpoint.name = name;
    endpoint.address = address;
    endpoint.dataCentre = "a";
    endpoint.service = "booking";
    site.inventory().endpoints.push_back(endpoint);
}

/// A site with one service endpoint and two routers.
class ClaimFailure : public testing::Test
{
protected:
    void startRouters(const std::string &settings = {})
    {
        m_first = std::make_unique<RouterProcess>(m_site.platformUrl(), settings);
        m_second = std::make_unique<RouterProcess>(m_site.platformUrl(), settings);
        ASSERT_TRUE(m_first->waitUntilReady());
        ASSERT_TRUE(m_second->waitUntilReady());
    }

    RouterProcess &first() { return *m_first; }
    RouterProcess &second() { return *m_second; }

    Site m_site{0, 1};
    std::unique_ptr<RouterProcess> m_first;
    std::unique_ptr<RouterProcess> m_second;
};

} // namespace

TEST_F(ClaimFailure, OneKeySentToTwoRoutersConcurrentlyRunsOnce)
{
    startRouters();
    for (int i = 0; i < 50; ++i) {
        const std::string operation = "same-" + std::to_string(i);
        auto one = bookInBackground(first(), operation);
        auto other = bookInBackground(second(), operation);
        const CallerResponse a = one.get();
        const CallerResponse b = other.get();
        EXPECT_EQ(m_site.runs(operation), 1U);
        EXPECT_TRUE(a.status == 200 || b.status == 200);
        for (const CallerResponse &response : {a, b}) {
            EXPECT_NE(response.ran, "no");
            EXPECT_TRUE(response.status == 200 || response.status == 409) << response.status;
        }
    }
}

TEST_F(ClaimFailure, ASecondCallGetsTheStoredAnswerAndAnotherBodyIsRefused)
{
    startRouters();
    const CallerResponse answer = book(first(), "b1");
    const CallerResponse again = book(second(), "b1");
    EXPECT_FALSE(answer.replayed);
    EXPECT_TRUE(again.replayed);
    EXPECT_EQ(again.body, answer.body);
    const auto other = toCallerResponse(makeCaller(second()).Post(
            Slots, {{"Idempotency-Key", "key-b1"}}, bodyOf("b2"), JsonType));
    EXPECT_EQ(other.status, 422);
    EXPECT_EQ(m_site.runs("b1"), 1U);
    EXPECT_EQ(m_site.runs("b2"), 0U);
}

TEST_F(ClaimFailure, ARouterKilledBeforeTheClaimLeavesTheKeyFree)
{
    startRouters();
    m_site.platform().setFault(FaultMode::Silent);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return m_site.platform().swallowedChanges() > 0; }));
    first().process().kill();
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(call.get().status, 0);
    EXPECT_EQ(m_site.runs("b1"), 0U);
    EXPECT_EQ(bookUntilAnswered(second(), "b1").status, 200);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ARouterKilledBetweenClaimAndSendLeavesTheCallNotRun)
{
    startRouters();
    m_site.platform().setFault(FaultMode::HoldAnswer);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return claimExists(m_site); }));
    first().process().kill();
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(call.get().status, 0);
    const CallerResponse response = book(second(), "b1");
    EXPECT_EQ(response.status, 409);
    EXPECT_EQ(response.ran, "unknown");
    EXPECT_EQ(m_site.runs("b1"), 0U);
}

TEST_F(ClaimFailure, ARouterKilledAfterItSentIsNotFollowedByASecondRun)
{
    startRouters();
    setServiceFault(m_site, "delay", 500);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return m_site.runs("b1") == 1; }));
    first().process().kill();
    EXPECT_EQ(call.get().status, 0);
    const CallerResponse response = book(second(), "b1");
    EXPECT_EQ(response.ran, "unknown");
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ARouterKilledBeforeTheOutcomeIsStoredIsNotFollowedByASecondRun)
{
    startRouters();
    setServiceFault(m_site, "delay", 300);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return m_site.runs("b1") == 1; }));
    m_site.platform().setFault(FaultMode::Silent);
    ASSERT_TRUE(waitUntil([&] { return m_site.platform().swallowedChanges() > 0; }));
    first().process().kill();
    m_site.platform().setFault(FaultMode::None);
    call.get();
    const CallerResponse response = book(second(), "b1");
    EXPECT_EQ(response.ran, "unknown");
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ARouterFrozenPastEveryDeadlineBeforeItSentSendsNothing)
{
    startRouters(ShortTimeouts);
    m_site.platform().setFault(FaultMode::HoldAnswer);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return claimExists(m_site); }));
    first().process().signal(SIGSTOP);
    m_site.platform().setFault(FaultMode::None);
    CallerResponse duringPause;
    ASSERT_TRUE(waitUntil([&] {
        duringPause = book(second(), "b1");
        return duringPause.code == "outcome_unknown";
    })) << duringPause.status
        << " " << duringPause.code;
    EXPECT_EQ(duringPause.ran, "unknown");
    first().process().signal(SIGCONT);
    const CallerResponse response = call.get();
    EXPECT_EQ(response.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 0U);
    // The holder released its claim without sending, so the key can be used again.
    EXPECT_EQ(bookUntilAnswered(second(), "b1").status, 200);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ARouterFrozenPastEveryDeadlineAfterItSentKeepsTheOneRun)
{
    startRouters(ShortTimeouts);
    setServiceFault(m_site, "delay", 300);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return m_site.runs("b1") == 1; }));
    first().process().signal(SIGSTOP);
    CallerResponse duringPause;
    ASSERT_TRUE(waitUntil([&] {
        duringPause = book(second(), "b1");
        return duringPause.code == "outcome_unknown";
    })) << duringPause.status
        << " " << duringPause.code;
    first().process().signal(SIGCONT);
    const CallerResponse response = call.get();
    EXPECT_NE(response.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 1U);
    EXPECT_NE(book(second(), "b1").ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, APlatformOutageIsRefusedAsNotRun)
{
    startRouters();
    m_site.platform().setFault(FaultMode::Outage);
    const CallerResponse response = book(first(), "b1");
    EXPECT_EQ(response.status, 503);
    EXPECT_EQ(response.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 0U);
    const auto repeatable = makeCaller(first()).Get("/booking/slots");
    ASSERT_TRUE(repeatable);
    EXPECT_EQ(repeatable->status, 200);
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(bookUntilAnswered(second(), "b1").status, 200);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, AClaimThatTakesEffectAfterItsDeadlineBlocksNoKey)
{
    startRouters(ShortTimeouts);
    m_site.platform().setFault(FaultMode::Slow, std::chrono::milliseconds(700));
    const CallerResponse response = book(first(), "b1");
    EXPECT_EQ(response.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 0U);
    ASSERT_TRUE(waitUntil([&] { return claimExists(m_site); }));
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(bookUntilAnswered(second(), "b1").status, 200);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, LostAnswersOnClaimAndOutcomeAreReadBack)
{
    startRouters();
    m_site.platform().setFault(FaultMode::LoseAnswer);
    EXPECT_EQ(book(first(), "b1").status, 200);
    const CallerResponse again = book(second(), "b1");
    EXPECT_TRUE(again.replayed);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ACallIsNotRetriedAfterAResetBeforeOrDuringTheAnswer)
{
    startRouters();
    for (const std::string mode : {"reset-before-answer", "reset-half-way"}) {
        setServiceFault(m_site, mode);
        EXPECT_EQ(book(first(), mode).ran, "unknown");
        const CallerResponse again = book(second(), mode);
        EXPECT_EQ(again.code, "outcome_unknown");
        EXPECT_EQ(again.ran, "unknown");
        EXPECT_EQ(m_site.runs(mode), 1U);
        setServiceFault(m_site, mode);
        EXPECT_EQ(bookWithoutKey(first(), mode + "-no-key").ran, "unknown");
        EXPECT_EQ(m_site.runs(mode + "-no-key"), 1U);
        EXPECT_EQ(book(first(), mode + "-after").status, 200);
    }
}

TEST_F(ClaimFailure, AnEndpointThatResetsAfterItsAnswerHasAnswered)
{
    RawEndpoint endpoint([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        RawEndpoint::waitForClose(socket);
        RawEndpoint::resetOnClose(socket);
    });
    m_site.inventory().endpoints.front().address = endpoint.address();
    m_site.submit();
    startRouters();
    EXPECT_EQ(book(first(), "b1").body, "ok");
    EXPECT_TRUE(book(second(), "b1").replayed);
    EXPECT_EQ(endpoint.calls(), 1U);
}

TEST_F(ClaimFailure, AnAnswerOverTheStoresLimitArrivesOnceAndIsThenReportedAsRun)
{
    RawEndpoint endpoint([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1500000\r\n\r\n"
                                           + std::string(1500000, 'x'));
        RawEndpoint::waitForClose(socket);
    });
    m_site.inventory().endpoints.front().address = endpoint.address();
    m_site.submit();
    startRouters();
    EXPECT_EQ(book(first(), "b1").body.size(), 1500000U);
    const CallerResponse again = book(second(), "b1");
    EXPECT_EQ(again.code, "answer_not_kept");
    EXPECT_EQ(again.ran, "yes");
    EXPECT_EQ(endpoint.calls(), 1U);
}

TEST_F(ClaimFailure, WithoutAKeyAnotherEndpointIsTriedOnlyWhenNothingWasSent)
{
    addService(m_site, "dead-0", "127.0.0.1:1");
    addService(m_site, "dead-1", "127.0.0.1:2");
    m_site.submit();
    startRouters();
    for (int i = 0; i < 10; ++i) {
        const std::string operation = "b" + std::to_string(i);
        EXPECT_EQ(bookWithoutKey(first(), operation).status, 200);
        EXPECT_EQ(m_site.runs(operation), 1U);
    }
}

TEST_F(ClaimFailure, TheHttpLibrarySendsOnceToAnEndpointThatClosesImmediately)
{
    RawEndpoint closing(
            [](int socket, const std::string &, unsigned) { RawEndpoint::resetOnClose(socket); });
    m_site.inventory().endpoints.front().address = closing.address();
    m_site.submit();
    startRouters();
    EXPECT_EQ(bookWithoutKey(first(), "b1").ran, "unknown");
    EXPECT_EQ(closing.calls(), 1U);
    EXPECT_EQ(book(first(), "b2").ran, "unknown");
    EXPECT_EQ(closing.calls(), 2U);
}

TEST_F(ClaimFailure, TheHttpLibrarySendsOnceToAnEndpointThatResetsHalfWay)
{
    RawEndpoint resetting([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
        RawEndpoint::resetOnClose(socket);
    });
    m_site.inventory().endpoints.front().address = resetting.address();
    m_site.submit();
    startRouters();
    EXPECT_EQ(bookWithoutKey(first(), "b1").ran, "unknown");
    EXPECT_EQ(resetting.calls(), 1U);
    EXPECT_EQ(book(first(), "b2").ran, "unknown");
    EXPECT_EQ(resetting.calls(), 2U);
}

TEST_F(ClaimFailure, ARepeatableCallGoesToAnotherEndpointAfterAReset)
{
    RawEndpoint closing(
            [](int socket, const std::string &, unsigned) { RawEndpoint::resetOnClose(socket); });
    addService(m_site, "closing", closing.address());
    m_site.submit();
    startRouters();
    for (int i = 0; i < 20; ++i) {
        const auto result = makeCaller(first()).Get("/booking/list?i=" + std::to_string(i));
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status, 200);
    }
    EXPECT_GT(closing.calls(), 0U);
}

TEST_F(ClaimFailure, AnUnresponsiveEndpointEndsAtTheDeadlineWithOutcomeUnknown)
{
    RawEndpoint unresponsive(
            [](int socket, const std::string &, unsigned) { RawEndpoint::waitForClose(socket); });
    m_site.inventory().endpoints.front().address = unresponsive.address();
    m_site.submit();
    startRouters("[timeouts]\nfirst_byte = \"300ms\"\n");
    EXPECT_EQ(bookWithoutKey(first(), "b1").ran, "unknown");
    EXPECT_EQ(book(first(), "b2").ran, "unknown");
    EXPECT_EQ(unresponsive.calls(), 2U);
}

TEST_F(ClaimFailure, ASlowlyArrivingAnswerEndsAtTheDeadline)
{
    RawEndpoint trickling([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nX-Long: ");
        while (RawEndpoint::write(socket, "x"))
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
    });
    m_site.inventory().endpoints.front().address = trickling.address();
    m_site.submit();
    startRouters("[timeouts]\nrequest = \"500ms\"\n");
    EXPECT_EQ(bookWithoutKey(first(), "b1").ran, "unknown");
    EXPECT_EQ(trickling.calls(), 1U);
}

TEST_F(ClaimFailure, CrossedAnswersAreDroppedAndCounted)
{
    startRouters();
    setServiceFault(m_site, "swap", 0, 2);
    auto one = bookInBackground(first(), "b1");
    auto other = bookInBackground(first(), "b2");
    for (const CallerResponse &response : {one.get(), other.get()}) {
        EXPECT_EQ(response.status, 502);
        EXPECT_EQ(response.ran, "unknown");
    }
    EXPECT_EQ(m_site.runs("b1"), 1U);
    EXPECT_EQ(m_site.runs("b2"), 1U);
    EXPECT_EQ(counter(first(), "almondmill_answers_dropped_total{reason=\"other_attempt\"}"), 2U);
}

TEST_F(ClaimFailure, ALateAnswerIsNeverRelayedToAnotherCall)
{
    startRouters("[timeouts]\nfirst_byte = \"200ms\"\n");
    setServiceFault(m_site, "delay", 600);
    EXPECT_EQ(bookWithoutKey(first(), "late").ran, "unknown");
    for (int i = 0; i < 10; ++i) {
        const std::string operation = "b" + std::to_string(i);
        const CallerResponse response = bookWithoutKey(first(), operation);
        ASSERT_EQ(response.status, 200);
        EXPECT_EQ(Json::parse(response.body).at("operation"), operation);
    }
    EXPECT_EQ(m_site.runs("late"), 1U);
}

TEST_F(ClaimFailure, AnAnswerGivenTwiceIsRelayedOnce)
{
    RawEndpoint endpoint([](int socket, const std::string &, unsigned before) {
        const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(before);
        RawEndpoint::write(socket, answer + answer);
        RawEndpoint::waitForClose(socket);
    });
    m_site.inventory().endpoints.front().address = endpoint.address();
    m_site.submit();
    startRouters();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(bookWithoutKey(first(), "b").body, std::to_string(i));
}

TEST_F(ClaimFailure, QueryAndHeadersAreForwardedAndTheApiKeyIsNot)
{
    std::promise<std::string> seen;
    RawEndpoint endpoint([&](int socket, const std::string &request, unsigned) {
        seen.set_value(request);
        RawEndpoint::write(socket, "HTTP/1.1 201 Created\r\nLocation: /booking/slots/7\r\n"
                                   "Content-Length: 0\r\n\r\n");
        RawEndpoint::waitForClose(socket);
    });
    m_site.inventory().endpoints.front().address = endpoint.address();
    m_site.submit();
    startRouters();
    auto caller = makeCaller(first());
    caller.set_url_encode(false);
    const auto result = caller.Post("/booking/slots?day=1+2&name=a%2Fb", {{"X-Note", "wax"}},
                                    bodyOf("b1"), JsonType);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 201);
    EXPECT_EQ(result->get_header_value("Location"), "/booking/slots/7");
    const std::string request = seen.get_future().get();
    EXPECT_TRUE(request.starts_with("POST /booking/slots?day=1+2&name=a%2Fb HTTP/1.1\r\n"))
            << request;
    EXPECT_NE(request.find("X-Note: wax"), std::string::npos);
    EXPECT_EQ(request.find(ApiKey), std::string::npos);
}

} // namespace almondmill::test
