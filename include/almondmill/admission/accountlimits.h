#pragma once

#include "almondmill/admission/accountgrant.h"
#include "almondmill/admission/usageexchange.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace almondmill {

class Configuration;
struct ClientAccount;

/// The client accounts' limits at this router: fleet-wide limits in parts, corrected by what
/// heartbeats tell of the other routers' demand. Safe from several threads.
class AccountLimits : public UsageExchange
{
public:
    using Result = std::variant<AccountGrant, AccountLimit::Verdict>;

    /// Bytes of memory held for the accounts seen.
    std::size_t stateBytes() const;
    std::size_t accounts() const;

    /// Admits a request, or says which limit of the account is reached. No call leaves the process.
    Result admit(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);

    /// Works the parts out again; called once a period. `routers` are the live ones.
    void update(const Configuration &configuration, std::size_t routers,
                std::chrono::milliseconds period);

    std::vector<AccountUsage> takeForPeer(std::size_t mostAccounts) override;
    void addFromPeer(std::span<const AccountUsage> usage) override;

private:
    using LimitPointer = std::shared_ptr<AccountLimit>;

    /// Accounts by the hash of their names. The lock is held for one look-up.
    struct Shard
    {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, LimitPointer> limits;
    };

    LimitPointer limitOf(std::uint64_t accountId);

    std::array<Shard, 64> m_shards;
};

} // namespace almondmill
