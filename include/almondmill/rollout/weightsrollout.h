#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/rollout/enginereport.h"
#include "almondmill/rollout/weightsorder.h"

#include <absl/container/flat_hash_map.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondmill {

class EndpointView;
class HttpClient;
struct ForwardingContext;

/// Permission to send orders while the roll-out lease is held.
struct LeaseGrant
{
    std::string holder;
    std::uint64_t fencing = 0; ///< Fencing token that each order carries.
    SteadyTime until; ///< On the boot-time clock, which also counts while the VM is suspended.
};

/// Rolls out named weights to the engines, a limited number at a time. Must be used on the event
/// loop only.
class WeightsRollout
{
public:
    /// `announce` is called when engines start or stop loading, to notify the other routers.
    WeightsRollout(ForwardingContext &context, std::function<void()> announce);
    ~WeightsRollout();

    /// Whether any engine that takes requests serves older weights than those named for its model.
    /// A change in their number since the last call counts as progress.
    bool detectOutdatedEngines(SteadyTime now);

    /// When the number of engines with outdated weights last changed, as seen by `check`.
    SteadyTime lastProgress() const { return m_lastProgress; }

    /// Starts as many orders as the plan and the lease allow.
    void step(const LeaseGrant &grant);

    /// Withdraws the grant, so that no further order is sent. Returns when the last one was sent,
    /// on the boot-time clock.
    SteadyTime revoke();

private:
    using View = std::shared_ptr<EndpointView>;

    std::size_t countOutdatedEngines() const;
    void stepModel(const std::string &model, std::uint64_t version, const LeaseGrant &grant);
    bool mayOrder() const;
    boost::asio::awaitable<void> updateEngine(View view, WeightsOrder order);
    boost::asio::awaitable<bool> sendOrder(HttpClient &client, WeightsOrder order);
    boost::asio::awaitable<void> awaitWeights(HttpClient &client, View view, WeightsOrder order);
    boost::asio::awaitable<std::optional<EngineReport>> fetchReport(HttpClient &client);

    /// Stores the reported version of the model; true when the order is complete.
    bool applyReport(EndpointView &view, const EngineReport &report, const WeightsOrder &order);

    ForwardingContext &m_context;
    std::function<void()> m_announce;
    absl::flat_hash_map<std::string, std::uint64_t> m_ordered; ///< Version in flight, by endpoint.
    LeaseGrant m_grant;                                        ///< Of the last step.
    SteadyTime m_lastOrderAt;                                  ///< On the boot-time clock.
    std::size_t m_outdatedEngines = 0;                         ///< As of the last check.
    SteadyTime m_lastProgress;
};

} // namespace almondmill
