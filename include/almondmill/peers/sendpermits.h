#pragma once

#include "almondmill/forward/permitbucket.h"
#include "almondmill/kernel/time.h"
#include "almondmill/peers/openquestions.h"
#include "almondmill/peers/permitissuers.h"
#include "almondmill/peers/permitmessages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace almondmill {

class Counter;
class Metrics;
class RateLimits;
struct ClockTimes;

/// Permission to send one request to an endpoint with a rate limit.
struct SendPermit
{
    std::uint64_t endpoint = 0; ///< See incarnationHash.
    std::string issuer;         ///< Name of the router that issued it; empty without a limit.
    SteadyTime expiresAt;       ///< On the boot clock.
};

/// Keeps the rate limits of endpoints for all routers together. The permits for an endpoint are
/// issued by one router, the first in the endpoint's rendezvous order, from one token bucket; the
/// others ask it for a permit before each request. A second router issues permits at a small part
/// of the rate to routers that can't reach the first. Must be used on the event loop only.
class SendPermits
{
public:
    /// Sends a datagram to the router of that name.
    using Sender = std::function<void(const std::string &router, std::string_view bytes)>;

    /// Part of the rate that the second issuer may issue while the first one answers this router.
    static constexpr double StandbyShare = 0.25;

    /// A router that has just started doesn't know its peers, and issues nothing for this time.
    static constexpr std::chrono::milliseconds StartDelay = PermitIssuers::StartDelay;

    SendPermits(boost::asio::io_context &loop, std::string self, RateLimits &limits,
                Metrics &metrics, const ClockTimes &now);

    /// Begins to exchange permits with other routers. Before that, this router is the only one.
    void start(Sender send) { m_send = std::move(send); }

    /// Knows the routers; account quotas are issued by the same rules.
    PermitIssuers &issuers() { return m_issuers; }

    void addRouter(const std::string &name) { m_issuers.addRouter(name); }

    /// A peer sent a message; `isLeaving` when it said that it shuts down.
    void recordMessage(const std::string &peer, bool isLeaving, SteadyTime now)
    {
        m_issuers.recordMessage(peer, isLeaving, now);
    }

    /// This router shuts down and issues no more permits.
    void leave() { m_issuers.leave(); }

    /// Gets a permit that can be used within `maxWait`, and waits until then. Empty when there is
    /// none in time; the endpoint is then withheld until this router may ask again. Completes
    /// after `maxWait` and a bounded time for the issuers' answers.
    boost::asio::awaitable<std::optional<SendPermit>> obtain(std::uint64_t endpoint,
                                                             std::chrono::milliseconds maxWait);

    /// Puts a permit back that was not used.
    void giveBack(const SendPermit &permit);

    /// This router's answer to another router.
    PermitReply answer(const PermitRequest &request, const ClockTimes &now);

    /// Completes the request that the reply belongs to. Returns false when none waits for it.
    bool handleReply(const PermitReply &reply);

    void handleReturn(const PermitReturn &returned);

private:
    PermitResult issue(std::uint64_t endpoint, std::chrono::milliseconds maxWait,
                       const ClockTimes &now);
    std::chrono::milliseconds longestInvitation() const;
    boost::asio::awaitable<std::optional<PermitResult>>
    ask(std::string issuer, std::uint64_t endpoint, std::chrono::milliseconds maxWait);
    PermitBucket &bucketOf(std::uint64_t endpoint, SteadyTime bootNow);

    boost::asio::io_context &m_loop;
    const std::string m_self;
    RateLimits &m_limits;
    Counter &m_granted;
    Counter &m_denied;
    Counter &m_unanswered;
    Counter &m_givenBack;
    Counter &m_issued;
    PermitIssuers m_issuers;
    Sender m_send;
    OpenQuestions<PermitResult> m_questions;
    absl::flat_hash_map<std::uint64_t, PermitBucket> m_buckets;
};

} // namespace almondmill
