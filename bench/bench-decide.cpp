// Measures the processor time of one decision, which is the admission of the client account and the
// placement as a request's thread runs them, while the configuration changes every second.

#include "almondmill/admission/accountlimits.h"
#include "almondmill/config/configuration.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/node.h"
#include "almondmill/placement/placer.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>
#include <vector>

namespace almondmill::bench {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds RunTime{2200};
constexpr std::chrono::seconds ChangeInterval{1};
constexpr std::uint32_t SharedPrefixes = 5000;
constexpr std::size_t KeysOfRequest = 10;
constexpr std::uint32_t PromptTokens = 20000;

std::shared_ptr<const Configuration> makeConfiguration(std::uint64_t version, std::size_t endpoints,
                                                       std::size_t accounts)
{
    Inventory inventory;
    for (int i = 0; i < 8; ++i)
        inventory.dataCentres.push_back({"dc" + std::to_string(i), i < 4 ? "north" : "south"});
    inventory.models.push_back({"model", "w1"});
    for (std::size_t i = 0; i < endpoints; ++i) {
        Endpoint endpoint;
        endpoint.name = "e" + std::to_string(i);
        endpoint.address = "127.0.0.1:" + std::to_string(i);
        endpoint.model = "model";
        endpoint.dataCentre = "dc" + std::to_string(i % 8);
        inventory.endpoints.push_back(endpoint);
    }
    Rules rules;
    rules.placementPolicy = "owner";
    for (std::size_t i = 0; i < accounts; ++i) {
        ClientAccount account;
        account.name = "account" + std::to_string(i);
        account.keySha256 = std::to_string(i);
        account.maxConcurrent = 1000000;
        account.promptTokensPerSecond = 1000000000;
        rules.clientAccounts.push_back(account);
    }
    return std::make_shared<const Configuration>(version, inventory, rules);
}

Settings makeSettings()
{
    Settings settings;
    settings.dataCentre = "dc0";
    return settings;
}

/// Processor time of the calling thread in nanoseconds. It excludes the load of other processes but
/// includes stalls on cache lines that threads share.
std::uint64_t threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<std::uint64_t>(time.tv_sec) * 1000000000U
           + static_cast<std::uint64_t>(time.tv_nsec);
}

/// Generates the keys of one of many shared prefixes, followed by a key unique to the request.
void generateKeys(std::vector<std::uint64_t> &keys, std::uint64_t draw)
{
    std::uint64_t chain = draw % SharedPrefixes;
    keys.clear();
    for (std::size_t i = 0; i + 1 < KeysOfRequest; ++i)
        keys.push_back(chain = mixHash(chain, i + 1));
    keys.push_back(mixHash(chain, draw));
}

class DecisionBenchmark
{
public:
    DecisionBenchmark(std::size_t endpoints, std::size_t accounts)
        : m_endpoints(endpoints)
        , m_accounts(accounts)
        , m_node(makeSettings())
        , m_placer(m_node, m_node.metrics)
    {
        m_node.endpoints.apply(makeConfiguration(1, endpoints, accounts));
        const auto endpointSet = m_node.endpoints.snapshot();
        for (const auto &state : endpointSet->all())
            state->setIncarnation(1);
        m_next = makeConfiguration(2, endpoints, accounts);
    }

    /// Processor time per decision in nanoseconds, with `threads` concurrent threads.
    double run(std::size_t threads)
    {
        std::atomic<bool> stop{false};
        std::atomic<std::uint64_t> decisions{0};
        std::vector<std::thread> workers;
        std::atomic<std::uint64_t> nanoseconds{0};
        for (std::size_t i = 0; i < threads; ++i) {
            workers.emplace_back([&, i] {
                decisions += decide(i + 1, stop);
                nanoseconds += threadTime();
            });
        }
        applyChangesUntil(Clock::now() + RunTime);
        stop = true;
        for (std::thread &worker : workers)
            worker.join();
        return static_cast<double>(nanoseconds.load()) / static_cast<double>(decisions.load());
    }

    std::size_t stateBytes() const
    {
        return m_placer.stateBytes() + m_limits.stateBytes() + m_endpoints * sizeof(EndpointState);
    }

private:
    /// Applies a new configuration every second. Each is built in advance, as a watcher does it, so
    /// that only applying it competes with the decisions.
    void applyChangesUntil(Clock::time_point end)
    {
        while (Clock::now() + ChangeInterval < end) {
            std::this_thread::sleep_for(ChangeInterval);
            const std::uint64_t version = m_next->version() + 1;
            m_node.endpoints.apply(m_next);
            m_next = makeConfiguration(version, m_endpoints, m_accounts);
        }
        std::this_thread::sleep_until(end);
    }

    std::uint64_t decide(std::uint64_t seed, const std::atomic<bool> &stop)
    {
        PlacementRequest request;
        request.dataCentre = m_node.settings.dataCentre;
        request.model = "model";
        std::uint64_t decided = 0;
        for (std::uint64_t draw = mixHash(seed, 1); !stop; draw = mixHash(draw, seed)) {
            const auto endpoints = m_node.endpoints.snapshot();
            const auto &accounts = endpoints->configuration().rules().clientAccounts;
            request.configuration = &endpoints->configuration();
            generateKeys(request.prefixKeys, draw);
            const auto now = Clock::now();
            const auto grant = m_limits.admit(accounts[draw % accounts.size()], PromptTokens, now);
            const auto state = m_placer.choose(request, endpoints->forModel("model"), {}, now);
            decided += state && std::holds_alternative<AccountGrant>(grant) ? 1 : 0;
        }
        return decided;
    }

    std::size_t m_endpoints;
    std::size_t m_accounts;
    Node m_node;
    Placer m_placer;
    AccountLimits m_limits;
    std::shared_ptr<const Configuration> m_next;
};

void measure(std::size_t endpoints, std::size_t accounts)
{
    DecisionBenchmark decider(endpoints, accounts);
    double alone = 0;
    for (const std::size_t threads : {1U, 2U, 4U, 8U}) {
        const double ns = decider.run(threads);
        if (threads == 1)
            alone = ns;
        std::printf("decide endpoints=%zu accounts=%zu threads=%zu ns=%.0f scaling=%.2f "
                    "state_bytes=%zu\n",
                    endpoints, accounts, threads, ns, alone / ns * static_cast<double>(threads),
                    decider.stateBytes());
        std::fflush(stdout);
    }
}

} // namespace

} // namespace almondmill::bench

int main()
{
    using namespace almondmill::bench;
    double load = 0;
    if (getloadavg(&load, 1) == 1)
        std::printf("machine load_average=%.1f cores=%u\n", load,
                    std::thread::hardware_concurrency());
    measure(18, 8);
    measure(660, 14000);
    measure(2600, 14000);
    return 0;
}
