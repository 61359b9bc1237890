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

/// The client accounts' limits at this router. Each router has a share of the fleet-wide limits,
/// which is adjusted to the demand that other routers report in heartbeats. Thread-safe.
class AccountLimits : public UsageExchange
{
public:
    using Result = std::variant<AccountGrant, AccountLimit::Verdict>;

    /// Bytes of memory held for the accounts seen so far.
    std::size_t stateBytes() const;
    std::size_t accounts() const;

    /// Admits a request, or returns which limit of the account is reached. Makes no remote call.
    Result admit(const ClientAccount &account, std::uint32_t promptTokens, SteadyTime now);

    /// Recomputes the shares; called once per period. `routers` is the number of live routers.
    void update(const Configuration &configuration, std::size_t routers,
                std::chrono::milliseconds period);

    std::vector<AccountUsage> takeForPeer(std::size_t maxAccounts) override;
    void addFromPeer(std::span<const AccountUsage> usage) override;

private:
    using LimitPointer = std::shared_ptr<AccountLimit>;

    /// Accounts by the hash of their names. A request holds the lock for one lookup only.
    struct Shard
    {
        mutable std::mutex mutex;
        absl::flat_hash_map<std::uint64_t, LimitPointer> limits;
    };

    LimitPointer limitOf(std::uint64_t accountId);

    std::array<Shard, 64> m_shards;
};

} // namespace almondmill
