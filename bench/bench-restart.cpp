// Measures the time from the start of a router process to the first request that it serves. Routers
// restart alone or all together, with a normal or a slow platform; one restarts during a platform
// outage while other routers are up.

#include "support/routerprocess.h"
#include "support/site.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

namespace {

using namespace almondmill;
using namespace almondmill::test;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t FleetSize = 14;

/// With the default of 1000 threads each, 14 routers on one host would exceed its thread limit.
constexpr const char *ThreadLimitSettings = "[limits]\nmax_requests = 50\ncaller_threads = 100\n";
constexpr std::size_t SingleRounds = 20;
constexpr std::size_t FleetRounds = 5;
constexpr milliseconds SlowAnswer{300};
constexpr milliseconds RetryStep{2};
constexpr milliseconds ServeTimeout{30000};
constexpr double ReadBudgetPerSecond = 2000;
constexpr int StatusOk = 200;

/// Number of restarted routers, number of rounds, and state of the platform.
struct Scenario
{
    const char *platform;
    standin::FaultMode fault;
    std::size_t routers;
    std::size_t rounds;
};

struct Outcome
{
    std::vector<double> firstServedMs;
    std::size_t notServed = 0;
    std::uint64_t maxCallsPerSecond = 0;
};

bool isServed(const RouterProcess &router)
{
    httplib::Client caller(router.callersUrl());
    caller.set_bearer_token_auth(ApiKey);
    const auto answer =
            caller.Post("/v1/completions", R"({"model":"reed","prompt":"voicing","max_tokens":1})",
                        "application/json");
    return answer && answer->status == StatusOk;
}

/// Milliseconds from the start of the process to the first served request. Negative if none was
/// served within the time limit.
double measureRestart(RouterProcess &router)
{
    const auto start = SteadyClock::now();
    router.restart();
    while (!isServed(router)) {
        if (SteadyClock::now() - start > ServeTimeout)
            return -1;
        std::this_thread::sleep_for(RetryStep);
    }
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

/// Records the highest number of platform calls within any second.
class CallSampler
{
public:
    explicit CallSampler(const standin::PlatformServer &platform)
        : m_platform(platform)
        , m_thread([this] { run(); })
    {}
    ~CallSampler() { stop(); }
    CallSampler(const CallSampler &) = delete;
    CallSampler &operator=(const CallSampler &) = delete;

    std::uint64_t stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_maxCallsPerSecond;
    }

private:
    void run()
    {
        constexpr std::size_t SamplesPerSecond = 20;
        constexpr milliseconds SampleTime{1000 / SamplesPerSecond};
        std::vector<std::uint64_t> samples{m_platform.calls()};
        while (!m_stopping) {
            std::this_thread::sleep_for(SampleTime);
            samples.push_back(m_platform.calls());
            const std::size_t first =
                    samples.size() > SamplesPerSecond ? samples.size() - 1 - SamplesPerSecond : 0;
            m_maxCallsPerSecond = std::max(m_maxCallsPerSecond, samples.back() - samples[first]);
        }
    }

    const standin::PlatformServer &m_platform;
    std::atomic<bool> m_stopping{false};
    std::uint64_t m_maxCallsPerSecond = 0;
    std::thread m_thread;
};

using Routers = std::vector<std::unique_ptr<RouterProcess>>;

void restartTogether(Routers &routers, std::size_t count, Outcome &outcome)
{
    std::vector<double> times(count);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < count; ++i)
        threads.emplace_back([&, i] { times[i] = measureRestart(*routers[i]); });
    for (std::thread &thread : threads)
        thread.join();
    for (const double time : times) {
        if (time < 0)
            ++outcome.notServed;
        else
            outcome.firstServedMs.push_back(time);
    }
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

Outcome run(Site &site, Routers &routers, const Scenario &scenario)
{
    Outcome outcome;
    site.platform().setFault(scenario.fault, SlowAnswer);
    CallSampler sampler(site.platform());
    for (std::size_t round = 0; round < scenario.rounds; ++round)
        restartTogether(routers, scenario.routers, outcome);
    outcome.maxCallsPerSecond = sampler.stop();
    site.platform().setFault(standin::FaultMode::None);
    return outcome;
}

bool report(const Scenario &scenario, const Outcome &outcome)
{
    std::cout << "restart routers=" << scenario.routers << " platform=" << scenario.platform
              << " served=" << outcome.firstServedMs.size() << " not_served=" << outcome.notServed
              << " first_served_p50_ms=" << percentile(outcome.firstServedMs, 0.5)
              << " p99_ms=" << percentile(outcome.firstServedMs, 0.99)
              << " platform_reads_per_s_max=" << outcome.maxCallsPerSecond << std::endl;
    return outcome.notServed == 0
           && static_cast<double>(outcome.maxCallsPerSecond) <= ReadBudgetPerSecond;
}

} // namespace

int main()
{
    Site site(2, 0);
    Routers routers;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < FleetSize; ++i) {
        routers.push_back(
                std::make_unique<RouterProcess>(site.platformUrl(), ThreadLimitSettings, seeds));
        if (seeds.size() < 3)
            seeds.push_back(routers.back()->peersAddress());
    }
    for (const auto &router : routers)
        router->waitUntilReady();

    const std::vector<Scenario> scenarios{
            {"normal", standin::FaultMode::None, 1, SingleRounds},
            {"slow", standin::FaultMode::Slow, 1, SingleRounds},
            {"normal", standin::FaultMode::None, FleetSize, FleetRounds},
            {"slow", standin::FaultMode::Slow, FleetSize, FleetRounds},
    };
    bool passed = true;
    // The last router has seeds, so it can get the configuration from a peer during the outage.
    std::swap(routers.front(), routers.back());
    const Scenario outage{"out", standin::FaultMode::Outage, 1, SingleRounds};
    passed = report(outage, run(site, routers, outage)) && passed;
    for (const Scenario &scenario : scenarios)
        passed = report(scenario, run(site, routers, scenario)) && passed;
    return passed ? 0 : 1;
}
