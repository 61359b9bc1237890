#include "almondmill/peers/ratelimitgossip.h"

#include "almondmill/forward/ratelimits.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/peers/ratelimitmessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace almondmill {

namespace asio = boost::asio;

namespace {

/// Changes within this time are sent together: several endpoints may need relief at once.
constexpr std::chrono::milliseconds PublishDelay{20};

/// Limits of about 30 bytes each that fit into one datagram.
constexpr std::size_t LimitsPerMessage = 40;

/// Limits that are repeated to a peer of a round.
constexpr std::size_t LimitsPerRound = 8;

} // namespace

RateLimitGossip::RateLimitGossip(asio::io_context &loop, RateLimits &limits, std::string self,
                                 std::uint64_t incarnation, Forwarder forward)
    : m_loop(loop)
    , m_limits(limits)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_forward(std::move(forward))
{}

void RateLimitGossip::start()
{
    m_limits.onUnsent([this] { publishSoon(); });
}

void RateLimitGossip::publishSoon()
{
    if (m_isScheduled)
        return;
    m_isScheduled = true;
    asio::co_spawn(m_loop, publishAfterDelay(), asio::detached);
}

asio::awaitable<void> RateLimitGossip::publishAfterDelay()
{
    co_await sleepFor(m_loop, PublishDelay);
    m_isScheduled = false;
    publish(bootTime());
}

void RateLimitGossip::publish(SteadyTime bootNow)
{
    RateLimitMessage message{m_self, m_incarnation, ++m_sequence,
                             m_limits.takeUnsent(LimitsPerMessage)};
    if (message.reports.empty())
        return;
    m_forward(m_self, encodeRateLimits(message, bootNow));
    if (m_limits.hasUnsent())
        publishSoon();
}

void RateLimitGossip::handle(const RateLimitMessage &message, std::string_view bytes)
{
    const bool isBroadcast = !message.origin.empty();
    const bool isOwn = message.origin == m_self;
    if (isBroadcast
        && (isOwn
            || !m_lastBroadcasts.record(message.origin, message.incarnation, message.sequence)))
        return;
    if (isBroadcast)
        m_forward(message.origin, bytes);
    for (const RateLimitReport &report : message.reports)
        m_limits.record(report, RateLimits::Source::Peer);
}

std::string RateLimitGossip::describeRepeats(SteadyTime bootNow)
{
    RateLimitMessage message;
    message.reports = m_limits.takeRepeats(LimitsPerRound);
    return message.reports.empty() ? std::string() : encodeRateLimits(message, bootNow);
}

} // namespace almondmill
