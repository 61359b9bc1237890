// Guards against weights orders that are sent after the permission to send them has run out,
// because the process was paused for some time after it had checked the permission.

#include "support/rawendpoint.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/rollout/orderlimits.h"
#include "almondmill/rollout/weightsrollout.h"

#include <gtest/gtest.h>

#include <mutex>
#include <optional>
#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// An engine that closes each connection after its answer, so that an order needs a new one.
class OrderedEngine
{
public:
    OrderedEngine()
        : m_endpoint([this](int socket, const std::string &call, unsigned) { serve(socket, call); })
    {}

    const std::string &address() const { return m_endpoint.address(); }

    std::optional<SteadyTime> orderedAt() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_orderedAt;
    }

private:
    void serve(int socket, const std::string &call)
    {
        const bool isOrder = call.starts_with("POST");
        if (isOrder) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_orderedAt = bootTime();
        }
        const std::string report =
                R"({"models":[{"name":"m","version":1}],"busy":false,"sequence":0})";
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                                           + std::to_string(report.size()) + "\r\n\r\n" + report);
    }

    mutable std::mutex m_mutex;
    std::optional<SteadyTime> m_orderedAt;
    RawEndpoint m_endpoint;
};

/// A roll-out of the model "m" from version 1 to 2 at one engine.
class PausableRollout
{
public:
    explicit PausableRollout(const std::string &engine)
        : m_context(m_loop, settings(), PlatformAdapterRegistry::create("rietwerk"))
        , m_rollout(m_context, [] {})
    {
        Registration entry;
        entry.id = "e1";
        entry.service = "any";
        entry.address = engine;
        entry.dataCentre = "dc-1";
        entry.slots = 4;
        entry.models = {{"m", 1}};
        m_context.directory.put(entry);
        m_context.weights.learn({"m", 2}, std::chrono::steady_clock::now());
    }

    /// Begins the roll-out with a permission until `until`.
    void begin(SteadyTime until) { m_rollout.step({"router-1", 1, until}); }

    /// Runs that many steps of the event loop.
    void runSteps(unsigned steps)
    {
        for (unsigned step = 0; step < steps; ++step)
            m_loop.run_one_for(MaxStepTime);
    }

private:
    static constexpr milliseconds MaxStepTime{100};

    static ForwarderSettings settings()
    {
        ForwarderSettings settings;
        settings.name = "router-1";
        settings.dataCentre = "dc-1";
        settings.adapter = "rietwerk";
        return settings;
    }

    boost::asio::io_context m_loop;
    ForwardingContext m_context;
    WeightsRollout m_rollout;
};

} // namespace

class PausedRollout : public testing::TestWithParam<unsigned>
{};

constexpr unsigned MaxStepsBeforeOrder = 10;

TEST_P(PausedRollout, SendsNoOrderAfterItsPermissionHasRunOut)
{
    constexpr milliseconds TimeBeforeLastOrder{300};
    const OrderedEngine engine;
    PausableRollout rollout(engine.address());
    const SteadyTime until = bootTime() + TimeBeforeLastOrder + OrderTimeout;
    rollout.begin(until);
    rollout.runSteps(GetParam());
    while (bootTime() < until)
        std::this_thread::sleep_for(until - bootTime());
    rollout.runSteps(MaxStepsBeforeOrder);
    const auto orderedAt = engine.orderedAt();
    EXPECT_TRUE(!orderedAt || *orderedAt < until);
}

INSTANTIATE_TEST_SUITE_P(AfterEachStep, PausedRollout, testing::Range(0U, MaxStepsBeforeOrder));

TEST(RolloutWithoutPause, SendsItsOrder)
{
    const OrderedEngine engine;
    PausableRollout rollout(engine.address());
    const SteadyTime until = bootTime() + std::chrono::seconds(20);
    rollout.begin(until);
    while (!engine.orderedAt() && bootTime() < until)
        rollout.runSteps(1);
    EXPECT_TRUE(engine.orderedAt());
}

} // namespace almondmill::test
