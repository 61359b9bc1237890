#include "almondmill/admission/accountlimits.h"

#include "almondmill/config/configuration.h"
#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

/// Accounts with a lower ratio of demand to limit are not reported to peers.
constexpr double MinReportedPressure = 0.2;

struct AccountPressure
{
    std::uint64_t id = 0;
    double pressure = 0;
    std::shared_ptr<AccountLimit> limit;
};

} // namespace

AccountLimits::LimitPointer AccountLimits::limitOf(std::uint64_t accountId)
{
    Shard &shard = m_shards[accountId % m_shards.size()];
    const std::lock_guard<std::mutex> lock(shard.mutex);
    LimitPointer &limit = shard.limits[accountId];
    if (!limit)
        limit = std::make_shared<AccountLimit>();
    return limit;
}

std::size_t AccountLimits::accounts() const
{
    std::size_t count = 0;
    for (const Shard &shard : m_shards) {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        count += shard.limits.size();
    }
    return count;
}

std::size_t AccountLimits::stateBytes() const
{
    constexpr std::size_t MapBytes = sizeof(std::uint64_t) + sizeof(LimitPointer) + 1;
    return sizeof(*this) + accounts() * (sizeof(AccountLimit) + 2 * MapBytes);
}

AccountLimits::Result AccountLimits::admit(const ClientAccount &account, std::uint32_t promptTokens,
                                           SteadyTime now)
{
    LimitPointer limit = limitOf(hash64(account.name));
    const auto verdict = limit->admit(account, promptTokens, now);
    if (verdict != AccountLimit::Verdict::Admitted)
        return verdict;
    return AccountGrant(std::move(limit));
}

void AccountLimits::update(const Configuration &configuration, std::size_t routers,
                           std::chrono::milliseconds period)
{
    for (const ClientAccount &account : configuration.rules().clientAccounts) {
        const std::uint64_t id = hash64(account.name);
        Shard &shard = m_shards[id % m_shards.size()];
        LimitPointer limit;
        {
            const std::lock_guard<std::mutex> lock(shard.mutex);
            const auto found = shard.limits.find(id);
            if (found != shard.limits.end())
                limit = found->second;
        }
        if (limit)
            limit->update(account, routers, period);
    }
}

std::vector<AccountUsage> AccountLimits::takeForPeer(std::size_t maxAccounts)
{
    std::vector<AccountPressure> candidates;
    for (const Shard &shard : m_shards) {
        const std::lock_guard<std::mutex> lock(shard.mutex);
        for (const auto &[id, limit] : shard.limits) {
            if (limit->pressure() > MinReportedPressure)
                candidates.push_back({id, limit->pressure(), limit});
        }
    }
    const std::size_t count = std::min(maxAccounts, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const AccountPressure &a, const AccountPressure &b) {
                          return a.pressure > b.pressure;
                      });
    std::vector<AccountUsage> usage;
    for (std::size_t i = 0; i < count; ++i) {
        usage.push_back(candidates[i].limit->takeHalf());
        usage.back().accountId = candidates[i].id;
    }
    return usage;
}

void AccountLimits::addFromPeer(std::span<const AccountUsage> usage)
{
    for (const AccountUsage &item : usage)
        limitOf(item.accountId)->add(item);
}

} // namespace almondmill
