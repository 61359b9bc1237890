// Time from the start of a router process to the first request that it served: alone and in a herd,
// with the platform as usual, slow, and out while other routers are up.

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

constexpr std::size_t HerdSize = 14;

/// 14 routers on one machine would pass its number of threads with the 1000 that each has by
/// default.
constexpr const char *FewThreads = "[limits]\nmax_requests = 50\ncaller_threads = 100\n";
constexpr std::size_t AloneRounds = 20;
constexpr std::size_t HerdRounds = 5;
constexpr milliseconds SlowAnswer{300};
constexpr milliseconds RetryStep{2};
constexpr milliseconds MostWait{30000};
constexpr double ReadBudgetPerSecond = 2000;
constexpr int StatusOk = 200;

/// One way to restart routers.
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
    std::uint64_t mostCallsPerSecond = 0;
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

/// Milliseconds from the start of the process to the first answer; negative when none came.
double measureRestart(RouterProcess &router)
{
    const auto start = SteadyClock::now();
    router.restart();
    while (!isServed(router)) {
        if (SteadyClock::now() - start > MostWait)
            return -1;
        std::this_thread::sleep_for(RetryStep);
    }
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

/// Keeps the highest number of platform calls in any second.
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
        return m_most;
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
            m_most = std::max(m_most, samples.back() - samples[first]);
        }
    }

    const standin::PlatformServer &m_platform;
    std::atomic<bool> m_stopping{false};
    std::uint64_t m_most = 0;
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
    outcome.mostCallsPerSecond = sampler.stop();
    site.platform().setFault(standin::FaultMode::None);
    return outcome;
}

bool report(const Scenario &scenario, const Outcome &outcome)
{
    std::cout << "restart routers=" << scenario.routers << " platform=" << scenario.platform
              << " served=" << outcome.firstServedMs.size() << " not_served=" << outcome.notServed
              << " first_served_p50_ms=" << percentile(outcome.firstServedMs, 0.5)
              << " p99_ms=" << percentile(outcome.firstServedMs, 0.99)
              << " platform_reads_per_s_max=" << outcome.mostCallsPerSecond << std::endl;
    return outcome.notServed == 0
           && static_cast<double>(outcome.mostCallsPerSecond) <= ReadBudgetPerSecond;
}

} // namespace

int main()
{
    Site site(2, 0);
    Routers routers;
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < HerdSize; ++i) {
        routers.push_back(std::make_unique<RouterProcess>(site.platformUrl(), FewThreads, seeds));
        if (seeds.size() < 3)
            seeds.push_back(routers.back()->peersAddress());
    }
    for (const auto &router : routers)
        router->waitUntilReady();

    const std::vector<Scenario> scenarios{
            {"normal", standin::FaultMode::None, 1, AloneRounds},
            {"slow", standin::FaultMode::Slow, 1, AloneRounds},
            {"normal", standin::FaultMode::None, HerdSize, HerdRounds},
            {"slow", standin::FaultMode::Slow, HerdSize, HerdRounds},
    };
    bool fine = true;
    // The last router has seeds, so that it can start from them while the platform is out.
    std::swap(routers.front(), routers.back());
    const Scenario outage{"out", standin::FaultMode::Outage, 1, AloneRounds};
    fine = report(outage, run(site, routers, outage)) && fine;
    for (const Scenario &scenario : scenarios)
        fine = report(scenario, run(site, routers, scenario)) && fine;
    return fine ? 0 : 1;
}
