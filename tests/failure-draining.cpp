#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace almondmill::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Routers = 3;
constexpr std::size_t Streams = 12;
constexpr std::size_t LaterRequests = 24;
constexpr const char *JsonType = "application/json";
/// A leaving endpoint must stop getting new requests within a few seconds.
constexpr std::chrono::milliseconds StopTimeout{3000};

standin::EngineOptions slowEngine()
{
    standin::EngineOptions options;
    options.tokenGap = 50ms;
    return options;
}

std::string completion(const std::string &prompt, unsigned tokens)
{
    return nlohmann::json{{"model", "reed"},
                          {"prompt", prompt + std::string(9000, 'x')},
                          {"max_tokens", tokens},
                          {"stream", true}}
            .dump();
}

/// Three routers with two engines; the first engine leaves while streams are open.
class Draining : public testing::Test
{
protected:
    void SetUp() override
    {
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < Routers; ++i) {
            m_routers.push_back(
                    std::make_unique<RouterProcess>(m_site.platformUrl(), std::string(), seeds));
            seeds = {m_routers[0]->peersAddress()};
        }
        for (std::size_t i = 0; i < Routers; ++i) {
            ASSERT_TRUE(m_routers[i]->waitUntilReady());
            ASSERT_TRUE(waitUntil(
                    [&] { return dump(i)["parts"]["fleet"]["members"].size() == Routers; }));
        }
    }

    nlohmann::json dump(std::size_t router) const
    {
        httplib::Client client(m_routers[router]->operatorsUrl());
        const auto result = client.Get("/dump");
        return result ? nlohmann::json::parse(result->body) : nlohmann::json::object();
    }

    bool takesWork(std::size_t router) const
    {
        const auto state = dump(router);
        return state["endpoints"][0]["takes_work"].get<bool>();
    }

    bool allTakeWork(bool expected) const
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            if (takesWork(i) != expected)
                return false;
        }
        return true;
    }

    bool streamCompletes(std::size_t router, const std::string &prompt, unsigned tokens) const
    {
        httplib::Client client(m_routers[router]->callersUrl());
        client.set_bearer_token_auth(ApiKey);
        client.set_read_timeout(30s);
        const auto result = client.Post("/v1/completions", completion(prompt, tokens), JsonType);
        return result && result->status == 200 && result->body.ends_with("data: [DONE]\n\n");
    }

    nlohmann::json engineStatus(std::size_t index = 0) const
    {
        httplib::Client client("http://" + m_site.engineAddress(index));
        const auto result = client.Get("/v1/status");
        return result ? nlohmann::json::parse(result->body) : nlohmann::json::object();
    }

    /// Opens streams and calls `leave` while they run. Expects that the leaving engine starts no
    /// new request and that all streams complete.
    void drainWhileStreaming(const std::function<void()> &leave)
    {
        std::atomic<std::size_t> complete{0};
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < Streams; ++i) {
            callers.emplace_back([&, i] {
                complete += streamCompletes(i % Routers, "open" + std::to_string(i), 120) ? 1 : 0;
            });
        }
        // Waits until the engines have started all streams, because a stream that is placed but not
        // started yet would count as a new request.
        EXPECT_TRUE(waitUntil([&] {
            const auto leaving = engineStatus(0).value("in_flight", 0U);
            const auto staying = engineStatus(1).value("in_flight", 0U);
            return leaving > 1 && leaving + staying == Streams;
        }));
        leave();
        EXPECT_TRUE(waitUntil([&] { return allTakeWork(false); }, StopTimeout));
        const auto started = engineStatus()["started"];
        EXPECT_GT(engineStatus().value("in_flight", 0U), 0U);
        for (std::size_t i = 0; i < LaterRequests; ++i)
            EXPECT_TRUE(streamCompletes(i % Routers, "later" + std::to_string(i), 1));
        EXPECT_EQ(engineStatus()["started"], started);
        for (std::thread &caller : callers)
            caller.join();
        EXPECT_EQ(complete, Streams);
    }

    void setEngineLeaving(bool leaving) const
    {
        httplib::Client client("http://" + m_site.engineAddress(0));
        const auto body = nlohmann::json{{"leaving", leaving}};
        ASSERT_TRUE(client.Post("/switch", body.dump(), JsonType));
    }

    Site m_site{2, 0, slowEngine()};
    std::vector<std::unique_ptr<RouterProcess>> m_routers;
};

} // namespace

TEST_F(Draining, ByTheEndpointsStatusStopsNewWorkAndFinishesStreams)
{
    drainWhileStreaming([&] { setEngineLeaving(true); });
    setEngineLeaving(false);
    EXPECT_TRUE(waitUntil([&] { return allTakeWork(true); }));
}

TEST_F(Draining, ByTheVmListStopsNewWorkAndFinishesStreams)
{
    drainWhileStreaming([&] { m_site.platform().setVms({{m_site.engineAddress(0), true}}); });
}

TEST_F(Draining, ByTheInventoryStopsNewWorkAndFinishesStreams)
{
    drainWhileStreaming([&] {
        m_site.inventory().endpoints[0].leaving = true;
        m_site.submit();
    });
}

TEST_F(Draining, ARestartedEngineHasANewIncarnationAtEveryRouter)
{
    const auto incarnation = [&](std::size_t router) {
        const auto state = dump(router);
        return state["endpoints"][0]["incarnation"].get<std::uint64_t>();
    };
    for (std::size_t i = 0; i < Routers; ++i)
        ASSERT_TRUE(waitUntil([&] { return incarnation(i) != 0; }));
    const std::uint64_t before = incarnation(0);
    m_site.stopEngine(0);
    EXPECT_TRUE(waitUntil([&] { return allTakeWork(false); }));
    m_site.startEngine(0);
    for (std::size_t i = 0; i < Routers; ++i)
        EXPECT_TRUE(waitUntil([&] { return takesWork(i) && incarnation(i) != before; }));
}

} // namespace almondmill::test
