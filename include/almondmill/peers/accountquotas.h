#pragma once

#include "almondmill/kernel/rcucell.h"
#include "almondmill/peers/fleetreach.h"
#include "almondmill/peers/quotaclient.h"
#include "almondmill/peers/quotaissuer.h"
#include "almondmill/peers/quotaresult.h"
#include "almondmill/route/accountquota.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace almondmill {

class Metrics;
class PermitIssuers;
class RoutingTable;
struct KeyedAccount;

/// Keeps the quotas of accounts for all routers together. What an account uses is issued by one
/// router, by the rules of `PermitIssuers`; the others ask it once per request. Must be used on the
/// event loop only.
class AccountQuotas
{
public:
    /// Sends a datagram to the router of that name.
    using Sender = std::function<void(const std::string &router, std::string_view bytes)>;
    /// Sends a datagram to the router that a message came from.
    using Reply = std::function<void(const std::string &bytes)>;

    AccountQuotas(boost::asio::io_context &loop, PermitIssuers &issuers,
                  const RcuCell<RoutingTable> &table, Metrics &metrics);

    /// Begins to exchange messages with other routers. Before that, this router is the only one.
    /// `needPeers` is called once if requests wait for the list of peers.
    void start(const Sender &send, std::function<void()> needPeers);

    /// Whether the request is within the quota of its account, which must have one. Completes after
    /// a bounded time.
    boost::asio::awaitable<QuotaResult> admit(const KeyedAccount &account, double amount);

    /// Puts the amount of an admitted request back that was not run.
    void giveBack(const KeyedAccount &account, double amount);

    /// Handles a datagram; returns false when it isn't about quotas.
    bool handleDatagram(std::string_view bytes, const Reply &reply);

    /// Accounts with a quota in the configuration in force.
    std::size_t accountsWithQuota();

private:
    const AccountQuota *quotaOf(std::uint64_t account);
    void pollWhileActive();
    boost::asio::awaitable<void> poll();

    boost::asio::io_context &m_loop;
    const RcuCell<RoutingTable> &m_table;
    FleetReach m_reach;
    QuotaIssuer m_issuer;
    QuotaClient m_client;
    bool m_isPolling = false;
    std::shared_ptr<const RoutingTable> m_indexed;             ///< What `m_quotas` was made from.
    absl::flat_hash_map<std::uint64_t, AccountQuota> m_quotas; ///< By hash of the account's name.
};

} // namespace almondmill
