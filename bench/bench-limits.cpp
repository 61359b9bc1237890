// Compares the client account limits that many routers enforce together with one exact central
// limiter, and measures how the excess of a large account affects the wait of a small account in
// the fair queue.

#include "almondmill/admission/accountlimits.h"
#include "almondmill/admission/requestqueue.h"
#include "almondmill/config/configuration.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <random>

namespace almondmill::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Seed = 20261204;
constexpr std::uint32_t PromptTokens = 8000;
constexpr std::size_t AccountCount = 8;
constexpr std::size_t AccountsInHeartbeat = 8;
constexpr seconds WarmUp{30};
constexpr seconds RunTime{150};
constexpr milliseconds Step{10};
constexpr milliseconds Period{1000};

/// Demand of each account as a multiple of its limit.
constexpr std::array<double, AccountCount> DemandOfLimit{0.3, 0.6, 0.75, 0.9, 1.1, 1.5, 3.0, 10.0};

struct AccountTotals
{
    RateLimiter centralLimiter;
    double centrallyAdmitted = 0;
    double locallyAdmitted = 0;
    double requested = 0;
    double wronglyRefused = 0;
};

class LimitsRun
{
public:
    LimitsRun(std::size_t routers, double tokensPerSecond)
        : m_tokensPerSecond(tokensPerSecond)
        , m_random(Seed)
        , m_routers(routers)
        , m_totals(AccountCount)
    {
        Rules rules;
        for (std::size_t i = 0; i < AccountCount; ++i) {
            ClientAccount account;
            account.name = "account" + std::to_string(i);
            account.promptTokensPerSecond = static_cast<std::uint32_t>(tokensPerSecond);
            account.maxConcurrent = 1000000;
            rules.clientAccounts.push_back(account);
        }
        m_configuration = std::make_shared<const Configuration>(1, Inventory{}, rules);
        for (auto &router : m_routers)
            router = std::make_unique<AccountLimits>();
        for (std::size_t i = 0; i < routers; ++i)
            m_routerWeights.push_back(
                    1.0
                    / static_cast<double>(
                            1 + i % 8)); // The load balancer's weights differ by up to 8:1.
    }

    void run()
    {
        const SteadyTime begin(std::chrono::hours(1));
        for (SteadyTime now = begin; now < begin + RunTime; now += Step) {
            for (std::size_t account = 0; account < AccountCount; ++account)
                offerRequests(account, now, now > begin + WarmUp);
            if ((now - begin) % Period == Step)
                heartbeat();
        }
        print();
    }

private:
    void offerRequests(std::size_t account, SteadyTime now, bool counts)
    {
        const ClientAccount &settings = m_configuration->rules().clientAccounts[account];
        const double mean = DemandOfLimit[account] * m_tokensPerSecond / PromptTokens
                            * std::chrono::duration<double>(Step).count();
        std::poisson_distribution<int> arrivals(mean);
        std::discrete_distribution<std::size_t> balancer(m_routerWeights.begin(),
                                                         m_routerWeights.end());
        for (int i = arrivals(m_random); i > 0; --i) {
            const auto result = m_routers[balancer(m_random)]->admit(settings, PromptTokens, now);
            const bool admittedLocally = std::holds_alternative<AccountGrant>(result);
            AccountTotals &totals = m_totals[account];
            const bool admittedCentrally = totals.centralLimiter.take(
                    PromptTokens, m_tokensPerSecond, milliseconds(1000), now);
            if (!counts)
                continue;
            totals.requested += PromptTokens;
            totals.locallyAdmitted += admittedLocally ? PromptTokens : 0;
            totals.centrallyAdmitted += admittedCentrally ? PromptTokens : 0;
        }
    }

    void heartbeat()
    {
        for (const auto &router : m_routers)
            router->update(*m_configuration, m_routers.size(), Period);
        for (const auto &router : m_routers) {
            const auto &peer = m_routers[m_random() % m_routers.size()];
            if (peer == router)
                continue;
            const auto usage = router->takeForPeer(AccountsInHeartbeat);
            m_maxBytes = std::max(m_maxBytes, usage.size() * BytesOfUsage);
            if (m_random() % 100 != 0) // 1% of the heartbeats are lost.
                peer->addFromPeer(usage);
        }
    }

    void print() const
    {
        double overshoot = 0;
        double refused = 0;
        double admitted = 0;
        const std::chrono::duration<double> counted = RunTime - WarmUp;
        for (std::size_t i = 0; i < AccountCount; ++i) {
            const AccountTotals &totals = m_totals[i];
            const double over = std::max(totals.locallyAdmitted - totals.centrallyAdmitted, 0.0);
            const double under = std::max(totals.centrallyAdmitted - totals.locallyAdmitted, 0.0);
            std::printf("account demand_of_limit=%.2f central_of_limit=%.3f ours_of_limit=%.3f\n",
                        DemandOfLimit[i],
                        totals.centrallyAdmitted / counted.count() / m_tokensPerSecond,
                        totals.locallyAdmitted / counted.count() / m_tokensPerSecond);
            overshoot += over;
            refused += under;
            admitted += totals.centrallyAdmitted;
        }
        std::printf("heartbeat accounts=%zu bytes=%zu\n", AccountsInHeartbeat, m_maxBytes);
        std::printf("limits routers=%zu overshoot_pct=%.2f refused_wrongly_pct=%.2f\n",
                    m_routers.size(), 100 * overshoot / admitted, 100 * refused / admitted);
    }

    static constexpr std::size_t BytesOfUsage = 26; ///< Encoded size of one account's usage.

    double m_tokensPerSecond;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<AccountLimits>> m_routers;
    std::vector<double> m_routerWeights;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<AccountTotals> m_totals;
    std::size_t m_maxBytes = 0;
};

/// 99th percentile, in milliseconds, of the time that a small account's requests take in a router's
/// queue before a single server, while a large account sends `largeMultiple` times its share.
double smallAccountP99(double largeMultiple)
{
    constexpr milliseconds ServiceTime{10};
    RequestQueue queue(1000);
    std::mt19937_64 random(Seed);
    std::mt19937_64 smallRandom(Seed + 1);
    std::vector<SteadyTime> arrivedAt;
    std::vector<bool> isSmall;
    std::vector<double> waits;
    std::vector<std::uint64_t> late;
    const SteadyTime begin(std::chrono::hours(1));
    std::poisson_distribution<int> small(
            0.1); // A step serves one request, so this is 10% of the server.
    std::poisson_distribution<int> large(0.5 * largeMultiple);
    const auto push = [&](std::uint64_t account, SteadyTime now) {
        isSmall.push_back(account == 1);
        queue.push({arrivedAt.size(), account, 1, Priority::High, now + seconds(5)});
        arrivedAt.push_back(now);
    };
    for (SteadyTime now = begin; now < begin + seconds(600); now += ServiceTime) {
        for (int i = small(smallRandom); i > 0; --i)
            push(1, now);
        for (int i = large(random); i > 0; --i)
            push(2, now);
        const auto id = queue.pop(now, late);
        if (id && isSmall[*id]) {
            const std::chrono::duration<double, std::milli> wait =
                    now + ServiceTime - arrivedAt[*id];
            waits.push_back(wait.count());
        }
    }
    std::sort(waits.begin(), waits.end());
    return waits[waits.size() * 99 / 100];
}

} // namespace

} // namespace almondmill::bench

int main()
{
    using namespace almondmill::bench;
    const double atShare = smallAccountP99(1);
    const double full = smallAccountP99(1.8); // Both accounts together just saturate the server.
    const double excess = smallAccountP99(10);
    std::printf(
            "fairness small_p99_ms_large_at_share=%.1f full=%.1f large_at_10x=%.1f ratio=%.3f\n",
            atShare, full, excess, excess / atShare);
    LimitsRun(14, 400000).run();
    LimitsRun(320, 4000000).run();
    return 0;
}
