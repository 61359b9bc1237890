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

/// The right to give orders for a while.
struct OrderRight
{
    std::string holder;
    std::uint64_t fencing = 0;
    SteadyTime until; ///< On the clock that goes on while the VM is suspended.
};

/// Moves engines to the weights that were named, some at a time. Belongs to the event loop.
class WeightsRollout
{
public:
    /// `announce` is called when engines begin or end to load, so that the other routers hear of
    /// it.
    WeightsRollout(ForwardingContext &context, std::function<void()> announce);
    ~WeightsRollout();

    /// Whether an engine that takes requests is behind the weights named for its model. Fewer or
    /// more of them than at the last call count as progress.
    bool check(SteadyTime now);

    /// When an engine was last seen to take new weights.
    SteadyTime lastProgress() const { return m_lastProgress; }

    /// Starts as many orders as the plan allows.
    void step(const OrderRight &right);

    /// Gives no order from now on; returns when the last one was sent, on the clock of leases.
    SteadyTime revoke();

private:
    using View = std::shared_ptr<EndpointView>;

    std::size_t enginesBehind() const;
    void stepModel(const std::string &model, std::uint64_t version, const OrderRight &right);
    bool mayOrder() const;
    boost::asio::awaitable<void> move(View view, WeightsOrder order);
    boost::asio::awaitable<bool> order(HttpClient &client, WeightsOrder order);
    boost::asio::awaitable<void> awaitWeights(HttpClient &client, View view, WeightsOrder order);
    boost::asio::awaitable<std::optional<EngineReport>> report(HttpClient &client);
    bool learn(EndpointView &view, const EngineReport &report, const WeightsOrder &order);

    ForwardingContext &m_context;
    std::function<void()> m_announce;
    absl::flat_hash_map<std::string, std::uint64_t> m_moving; ///< Version ordered, by endpoint.
    OrderRight m_right;                                       ///< Of the last step.
    SteadyTime m_lastOrderAt;                                 ///< On the clock of leases.
    std::size_t m_behind = 0;                                 ///< Engines, at the last check.
    SteadyTime m_lastProgress;
};

} // namespace almondmill
