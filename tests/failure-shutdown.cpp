#include "support/caller.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <atomic>
#include <csignal>
#include <thread>

namespace almondmill::test {

namespace {

constexpr unsigned OpenStreams = 200;
constexpr std::uint32_t Tokens = 150;

standin::EngineOptions slowEngines()
{
    standin::EngineOptions options;
    options.tokenGap = std::chrono::milliseconds(20);
    return options;
}

int readyStatus(const RouterProcess &router)
{
    httplib::Client client(router.operatorsUrl());
    const auto result = client.Get("/readyz");
    return result ? result->status : 0;
}

bool isComplete(const CallerAnswer &answer)
{
    return answer.status == 200 && answer.body.ends_with("data: [DONE]\n\n")
           && eventCount(answer.body) == Tokens + 1;
}

} // namespace

TEST(Shutdown, InterruptsNoRequestWithStreamsOpenAndNewOnesArriving)
{
    Site site(3, 0, slowEngines());
    RouterProcess router(site.platformUrl(), "[timeouts]\ndrain_notice = \"500ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    CompletionOrder order;
    order.tokens = Tokens;
    std::atomic<unsigned> begun{0};
    std::atomic<unsigned> completed{0};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < OpenStreams; ++i) {
        callers.emplace_back([&] {
            bool counted = false;
            const CallerAnswer answer =
                    askForCompletion(router.callersUrl(), order, [&](const std::string &) {
                        begun += counted ? 0 : 1;
                        counted = true;
                        return true;
                    });
            completed += isComplete(answer) ? 1 : 0;
        });
    }
    ASSERT_TRUE(waitUntil([&] { return begun == OpenStreams; }));

    // A load balancer continues to send requests until it notices that the router is not ready.
    std::atomic<unsigned> arrived{0};
    std::atomic<unsigned> arrivedCompleted{0};
    std::vector<std::thread> late;
    router.process().signal(SIGTERM);
    ASSERT_TRUE(waitUntil([&] { return readyStatus(router) == 503; }));
    for (unsigned i = 0; i < 20; ++i) {
        late.emplace_back([&, stream = i % 2 == 0] {
            CompletionOrder lateOrder = order;
            lateOrder.stream = stream;
            ++arrived;
            const CallerAnswer answer = askForCompletion(router.callersUrl(), lateOrder);
            arrivedCompleted +=
                    stream ? (isComplete(answer) ? 1U : 0U) : (answer.status == 200 ? 1U : 0U);
        });
    }
    for (std::thread &thread : callers)
        thread.join();
    for (std::thread &thread : late)
        thread.join();
    EXPECT_EQ(completed, OpenStreams);
    EXPECT_EQ(arrivedCompleted, arrived);
    EXPECT_EQ(router.process().terminate(), 0);
}

TEST(Shutdown, ResetsNoConnectionThatArrivesJustBeforeListeningEnds)
{
    Site site(1, 0);
    RouterProcess router(site.platformUrl(), "[timeouts]\ndrain_notice = \"50ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    std::atomic<bool> stopped{false};
    std::atomic<unsigned> connected{0};
    std::atomic<unsigned> answered{0};
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < 8; ++i) {
        callers.emplace_back([&] {
            while (!stopped) {
                httplib::Client client(router.callersUrl());
                client.set_bearer_token_auth(ApiKey);
                const auto result = client.Get("/v1/models");
                if (!result && result.error() == httplib::Error::Connection)
                    return;
                ++connected;
                answered += result && (result->status == 200 || result->status == 503) ? 1 : 0;
            }
        });
    }
    EXPECT_TRUE(waitUntil([&] { return answered > 50; }));
    EXPECT_EQ(router.process().terminate(), 0);
    stopped = true;
    for (std::thread &thread : callers)
        thread.join();
    EXPECT_EQ(answered, connected);
}

TEST(Shutdown, WaitsForAPlainAnswerToBeWritten)
{
    Site site(1, 0, slowEngines());
    RouterProcess router(site.platformUrl(), "[timeouts]\ndrain_notice = \"50ms\"\n");
    ASSERT_TRUE(router.waitUntilReady());
    CompletionOrder order;
    order.stream = false;
    order.tokens = 50;
    CallerAnswer answer;
    std::thread caller([&] { answer = askForCompletion(router.callersUrl(), order); });
    EXPECT_TRUE(waitUntil([&] { return site.engine(0).started() == 1; }));
    EXPECT_EQ(router.process().terminate(), 0);
    caller.join();
    EXPECT_EQ(answer.status, 200);
}

} // namespace almondmill::test
