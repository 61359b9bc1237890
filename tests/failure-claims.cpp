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

/// Deadlines short enough for a test to outlast: a claim is in progress for 4.5 s at most.
constexpr const char *ShortTimeouts = "[timeouts]\nplatform = \"400ms\"\nrequest = \"500ms\"\n";

/// What a caller was told.
struct Told
{
    int status = 0; ///< Zero: no answer, the router was gone.
    std::string body;
    std::string ran; ///< Of a refusal; else empty.
    std::string code;
    bool replayed = false;
};

Told toTold(const httplib::Result &result)
{
    Told told;
    if (!result)
        return told;
    told.status = result->status;
    told.body = result->body;
    told.replayed = result->get_header_value("Idempotent-Replayed") == "true";
    const Json json = Json::parse(result->body, nullptr, false);
    if (json.is_object() && json.contains("ran")) {
        told.ran = json.at("ran");
        told.code = json.at("error").at("code");
    }
    return told;
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

/// Books with the operation's name as key.
Told book(const RouterProcess &router, const std::string &operation)
{
    const httplib::Headers headers{{"Idempotency-Key", "key-" + operation}};
    return toTold(makeCaller(router).Post(Slots, headers, bodyOf(operation), JsonType));
}

Told bookWithoutKey(const RouterProcess &router, const std::string &operation)
{
    return toTold(makeCaller(router).Post(Slots, bodyOf(operation), JsonType));
}

std::future<Told> bookInBackground(const RouterProcess &router, const std::string &operation)
{
    return std::async(std::launch::async, [&router, operation] { return book(router, operation); });
}

/// Books again and again until a call is answered.
Told bookUntilAnswered(const RouterProcess &router, const std::string &operation)
{
    Told told;
    waitUntil([&] {
        told = book(router, operation);
        return told.status == 200;
    });
    return told;
}

void setServiceFault(const Site &site, const std::string &mode, unsigned delayMs = 0,
                     unsigned times = 1)
{
    httplib::Client client("http://" + site.serviceAddress(0));
    const Json json{{"mode", mode}, {"delay_ms", delayMs}, {"times", times}};
    ASSERT_TRUE(client.Post("/switch", json.dump(), JsonType));
}

bool claimStands(Site &site)
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

/// A site with routers before it.
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

TEST_F(ClaimFailure, OneKeyAtTwoRoutersInTheSameInstantRunsOnce)
{
    startRouters();
    for (int i = 0; i < 50; ++i) {
        const std::string operation = "same-" + std::to_string(i);
        auto one = bookInBackground(first(), operation);
        auto other = bookInBackground(second(), operation);
        const Told a = one.get();
        const Told b = other.get();
        EXPECT_EQ(m_site.runs(operation), 1U);
        EXPECT_TRUE(a.status == 200 || b.status == 200);
        for (const Told &told : {a, b}) {
            EXPECT_NE(told.ran, "no");
            EXPECT_TRUE(told.status == 200 || told.status == 409) << told.status;
        }
    }
}

TEST_F(ClaimFailure, ASecondCallGetsTheKeptAnswerAndAnotherBodyIsRefused)
{
    startRouters();
    const Told answer = book(first(), "b1");
    const Told again = book(second(), "b1");
    EXPECT_FALSE(answer.replayed);
    EXPECT_TRUE(again.replayed);
    EXPECT_EQ(again.body, answer.body);
    const auto other = toTold(makeCaller(second()).Post(Slots, {{"Idempotency-Key", "key-b1"}},
                                                        bodyOf("b2"), JsonType));
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

TEST_F(ClaimFailure, ARouterKilledBetweenClaimAndSendLeavesTheCallUnrun)
{
    startRouters();
    m_site.platform().setFault(FaultMode::HoldAnswer);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return claimStands(m_site); }));
    first().process().kill();
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(call.get().status, 0);
    const Told told = book(second(), "b1");
    EXPECT_EQ(told.status, 409);
    EXPECT_EQ(told.ran, "unknown");
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
    const Told told = book(second(), "b1");
    EXPECT_EQ(told.ran, "unknown");
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
    const Told told = book(second(), "b1");
    EXPECT_EQ(told.ran, "unknown");
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, ARouterFrozenPastEveryDeadlineBeforeItSentSendsNothing)
{
    startRouters(ShortTimeouts);
    m_site.platform().setFault(FaultMode::HoldAnswer);
    auto call = bookInBackground(first(), "b1");
    ASSERT_TRUE(waitUntil([&] { return claimStands(m_site); }));
    first().process().signal(SIGSTOP);
    m_site.platform().setFault(FaultMode::None);
    Told meanwhile;
    ASSERT_TRUE(waitUntil([&] {
        meanwhile = book(second(), "b1");
        return meanwhile.code == "outcome_unknown";
    }));
    EXPECT_EQ(meanwhile.ran, "unknown");
    first().process().signal(SIGCONT);
    const Told told = call.get();
    EXPECT_EQ(told.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 0U);
    // The holder itself said that it never sent, so the key is free again.
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
    Told meanwhile;
    ASSERT_TRUE(waitUntil([&] {
        meanwhile = book(second(), "b1");
        return meanwhile.code == "outcome_unknown";
    }));
    first().process().signal(SIGCONT);
    const Told told = call.get();
    EXPECT_NE(told.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 1U);
    EXPECT_NE(book(second(), "b1").ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, AnOutageOfThePlatformIsRefusedTruthfully)
{
    startRouters();
    m_site.platform().setFault(FaultMode::Outage);
    const Told told = book(first(), "b1");
    EXPECT_EQ(told.status, 503);
    EXPECT_EQ(told.ran, "no");
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
    const Told told = book(first(), "b1");
    EXPECT_EQ(told.ran, "no");
    EXPECT_EQ(m_site.runs("b1"), 0U);
    ASSERT_TRUE(waitUntil([&] { return claimStands(m_site); }));
    m_site.platform().setFault(FaultMode::None);
    EXPECT_EQ(bookUntilAnswered(second(), "b1").status, 200);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, LostAnswersOnClaimAndOutcomeAreReadBack)
{
    startRouters();
    m_site.platform().setFault(FaultMode::LoseAnswer);
    EXPECT_EQ(book(first(), "b1").status, 200);
    const Told again = book(second(), "b1");
    EXPECT_TRUE(again.replayed);
    EXPECT_EQ(m_site.runs("b1"), 1U);
}

TEST_F(ClaimFailure, AnEndpointThatResetsBeforeOrHalfWayIsNeverAskedAgain)
{
    startRouters();
    for (const std::string mode : {"reset-before-answer", "reset-half-way"}) {
        setServiceFault(m_site, mode);
        EXPECT_EQ(book(first(), mode).ran, "unknown");
        const Told again = book(second(), mode);
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

TEST_F(ClaimFailure, AnAnswerOverTheStoresLimitArrivesOnceAndIsThenToldToHaveRun)
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
    const Told again = book(second(), "b1");
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

TEST_F(ClaimFailure, TheHttpLibrarySendsOnceToAnEndpointThatClosesAtOnce)
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

TEST_F(ClaimFailure, APathThatSwallowsAllBytesEndsAtTheDeadlineAndIsToldAsUnknown)
{
    RawEndpoint silent(
            [](int socket, const std::string &, unsigned) { RawEndpoint::waitForClose(socket); });
    m_site.inventory().endpoints.front().address = silent.address();
    m_site.submit();
    startRouters("[timeouts]\nfirst_byte = \"300ms\"\n");
    EXPECT_EQ(bookWithoutKey(first(), "b1").ran, "unknown");
    EXPECT_EQ(book(first(), "b2").ran, "unknown");
    EXPECT_EQ(silent.calls(), 2U);
}

TEST_F(ClaimFailure, AnAnswerThatOnlyTricklesEndsAtTheDeadline)
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
    for (const Told &told : {one.get(), other.get()}) {
        EXPECT_EQ(told.status, 502);
        EXPECT_EQ(told.ran, "unknown");
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
        const Told told = bookWithoutKey(first(), operation);
        ASSERT_EQ(told.status, 200);
        EXPECT_EQ(Json::parse(told.body).at("operation"), operation);
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

TEST_F(ClaimFailure, QueryAndHeadersGoThroughAndTheApiKeyDoesNot)
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
