#pragma once

#include "almondmill/kernel/time.h"
#include "almondmill/peers/broadcastpositions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondmill {

class RateLimits;
struct RateLimitMessage;

/// Tells the other routers which rate limits endpoints have stated: broadcasts what changes, and
/// repeats what is in force. Must be used on the event loop only.
class RateLimitGossip
{
public:
    /// Forwards a broadcast of `origin` to this router's children in the broadcast tree.
    using Forwarder = std::function<void(const std::string &origin, std::string_view bytes)>;

    RateLimitGossip(boost::asio::io_context &loop, RateLimits &limits, std::string self,
                    std::uint64_t incarnation, Forwarder forward);

    /// Begins to broadcast the changes that this router hears of.
    void start();

    /// Records the limits of another router's message, which was received as `bytes`, and forwards
    /// it if it is a broadcast.
    void handle(const RateLimitMessage &message, std::string_view bytes);

    /// Some of the limits in force, to be sent to a peer; empty when there are none.
    std::string describeRepeats(SteadyTime bootNow);

private:
    void publishSoon();
    boost::asio::awaitable<void> publishAfterDelay();
    void publish(SteadyTime bootNow);

    boost::asio::io_context &m_loop;
    RateLimits &m_limits;
    const std::string m_self;
    const std::uint64_t m_incarnation;
    const Forwarder m_forward;
    std::uint64_t m_sequence = 0;
    bool m_isScheduled = false;
    BroadcastPositions m_lastBroadcasts;
};

} // namespace almondmill
