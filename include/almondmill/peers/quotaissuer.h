#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/quotabucket.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace almondmill {

class FleetReach;
class PermitIssuers;
struct AccountQuota;
struct QuotaQuestion;
struct QuotaReply;

/// Issues the quotas of the accounts that this router owns. The first owner issues in proportion to
/// the part of the fleet that it reaches, so that the parts of a fleet that is cut in two together
/// issue the rate once. The second owner issues next to nothing while the first one answers it.
/// Must be used on the event loop only.
class QuotaIssuer
{
public:
    QuotaIssuer(const PermitIssuers &issuers, FleetReach &reach);

    /// `quota` is null when the configuration in force here has none for the account.
    QuotaReply answer(const QuotaQuestion &question, const AccountQuota *quota, SteadyTime now);

    std::size_t bucketCount() const { return m_buckets.size(); }

private:
    struct Bucket
    {
        QuotaBucket bucket;
        SteadyTime createdAt;
        SteadyTime askedAt;
    };

    /// The account's bucket; a new one, or one that was idle, starts with what the question allows.
    Bucket &bucketOf(const QuotaQuestion &question, const AccountQuota &quota, SteadyTime now);
    double share(std::uint64_t account, SteadyTime createdAt, SteadyTime now);

    const PermitIssuers &m_issuers;
    FleetReach &m_reach;
    absl::flat_hash_map<std::uint64_t, Bucket> m_buckets; ///< By account.
};

} // namespace almondmill
