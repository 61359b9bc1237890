#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/broadcastpositions.h"
#include "almondmill/peers/bytebudget.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondmill {

class Counter;
struct ForwardingContext;
struct PaceMessage;

/// Tells the other routers how the paces of endpoints changed by this router's answers. Must be
/// used on the event loop only.
class PaceGossip
{
public:
    /// Forwards a broadcast of `origin` to this router's children in the broadcast tree.
    using Forwarder = std::function<void(const std::string &origin, std::string_view bytes)>;

    PaceGossip(ForwardingContext &context, std::uint64_t incarnation, Forwarder forward);

    /// Begins to broadcast changes.
    void start();

    /// Merges another router's message, which was received as `bytes`, and forwards it.
    void handle(const PaceMessage &message, std::string_view bytes, SteadyTime bootNow);

private:
    /// Several routers with a share see the same answers. Those that come later in an endpoint's
    /// order wait longer, and send nothing if an earlier one has told the same meanwhile.
    std::chrono::milliseconds publishDelay() const;
    boost::asio::awaitable<void> publishAfterDelay();
    void publish(SteadyTime bootNow);

    ForwardingContext &m_context;
    const std::uint64_t m_incarnation;
    const Forwarder m_forward;
    Counter &m_broadcasts;
    std::uint64_t m_sequence = 0;
    BroadcastPositions m_lastBroadcasts;
    ByteBudget m_budget;
};

} // namespace almondmill
