#include "almondmill/peers/sendpermits.h"

#include "almondmill/forward/ratelimits.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Waits for the answer to a request and to its repetition: a datagram may be lost, and an issuer
/// with little processor time may answer late.
constexpr std::array<milliseconds, 2> ReplyTimeouts{milliseconds(30), milliseconds(70)};

/// Time for which a permit can be used: that for opening a connection, and some more.
constexpr milliseconds PermitLifetime{500};

/// Issuers of one endpoint that are asked for one request.
constexpr int MaxIssuersAsked = 2;

/// Time after which a router without an issuer asks again.
constexpr milliseconds NoIssuerBackoff{500};

/// Longest time after which a router is invited to ask again, for a fleet of one and for each
/// router.
constexpr milliseconds LongestInvitation{2000};
constexpr milliseconds LongestInvitationPerRouter{25};

std::string counterLabel(const char *result)
{
    return std::string("result=\"") + result + "\"";
}

} // namespace

SendPermits::SendPermits(asio::io_context &loop, std::string self, RateLimits &limits,
                         Metrics &metrics, const ClockTimes &now)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_granted(metrics.counter("almondmill_send_permits_total", counterLabel("granted")))
    , m_denied(metrics.counter("almondmill_send_permits_total", counterLabel("denied")))
    , m_unanswered(metrics.counter("almondmill_send_permits_total", counterLabel("unanswered")))
    , m_givenBack(metrics.counter("almondmill_send_permits_total", counterLabel("given_back")))
    , m_issued(metrics.counter("almondmill_send_permits_issued_total"))
    , m_startedAt(now.steady)
    , m_heardAt(now.steady)
{
    addRouter(m_self);
}

void SendPermits::addRouter(const std::string &name)
{
    m_owners.addRouter(name);
    ++m_routers;
}

void SendPermits::recordMessage(const std::string &peer, bool isLeaving, SteadyTime now)
{
    m_heardAt = now;
    m_owners.recordMessage(peer, isLeaving);
}

void SendPermits::leave()
{
    m_owners.recordMessage(m_self, true);
}

asio::awaitable<std::optional<SendPermit>> SendPermits::obtain(std::uint64_t endpoint,
                                                               milliseconds maxWait)
{
    for (int asked = 0; asked < MaxIssuersAsked; ++asked) {
        const ClockTimes askedAt = ClockTimes::now();
        const auto issuer = m_owners.ownerToAsk(endpoint, askedAt.steady);
        if (!issuer)
            break;
        const auto result = *issuer == m_self ? issue(endpoint, maxWait, askedAt)
                                              : co_await ask(*issuer, endpoint, maxWait);
        const ClockTimes now = ClockTimes::now();
        if (!result || std::holds_alternative<NotIssuer>(*result)) {
            m_owners.recordUnanswered(*issuer, now.steady);
            continue;
        }
        if (const auto *denied = std::get_if<PermitDenied>(&*result)) {
            m_denied.add();
            m_limits.withhold(endpoint, now.boot + denied->askAgainIn);
            co_return std::nullopt;
        }
        m_granted.add();
        const milliseconds usableIn = std::get<PermitGranted>(*result).usableIn;
        if (usableIn > milliseconds(0))
            co_await sleepFor(m_loop, usableIn);
        co_return SendPermit{endpoint, *issuer, askedAt.boot + usableIn + PermitLifetime};
    }
    m_limits.withhold(endpoint, ClockTimes::now().boot + NoIssuerBackoff);
    co_return std::nullopt;
}

asio::awaitable<std::optional<PermitResult>>
SendPermits::ask(std::string issuer, std::uint64_t endpoint, milliseconds maxWait)
{
    const auto known = m_limits.find(endpoint);
    if (!known || !m_send)
        co_return std::nullopt;
    const PermitRequest request{++m_lastId, maxWait, *known};
    asio::steady_timer timer(m_loop);
    Waiting waiting{&timer, std::nullopt};
    for (const milliseconds timeout : ReplyTimeouts) {
        // Before the entry is made, which an exception would leave behind. The reply comes through
        // the event loop, so that it finds the entry.
        m_send(issuer, encodePermit(request, ClockTimes::now().boot));
        m_waiting[request.id] = &waiting;
        timer.expires_after(timeout);
        boost::system::error_code ignored; // A reply ends the wait by cancelling the timer.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_waiting.erase(request.id);
        if (waiting.result)
            co_return waiting.result;
    }
    m_unanswered.add();
    EventLine("permit.unanswered").add("endpoint", endpoint).add("issuer", issuer);
    co_return std::nullopt;
}

bool SendPermits::handleReply(const PermitReply &reply)
{
    m_limits.record(reply.known, RateLimits::Source::Peer);
    const auto found = m_waiting.find(reply.id);
    if (found == m_waiting.end())
        return false;
    Waiting &waiting = *found->second;
    waiting.result = reply.result;
    waiting.timer->cancel();
    m_waiting.erase(found);
    return true;
}

PermitReply SendPermits::answer(const PermitRequest &request, const ClockTimes &now)
{
    const std::uint64_t endpoint = request.known.endpoint;
    m_limits.record(request.known, RateLimits::Source::Peer);
    const PermitResult result = issue(endpoint, request.maxWait, now);
    return {request.id, result, m_limits.find(endpoint).value_or(request.known)};
}

PermitResult SendPermits::issue(std::uint64_t endpoint, milliseconds maxWait, const ClockTimes &now)
{
    const double share = issuedShare(endpoint, now.steady);
    if (share == 0)
        return NotIssuer{};
    const auto perSecond = m_limits.perSecond(endpoint);
    if (!perSecond) {
        m_buckets.erase(endpoint);
        return PermitGranted{};
    }
    if (now.steady < m_startedAt + StartDelay)
        return PermitDenied{std::chrono::ceil<milliseconds>(m_startedAt + StartDelay - now.steady)};
    PermitBucket &bucket = bucketOf(endpoint, now.boot);
    const auto usableIn = bucket.take(*perSecond * share, maxWait, now.boot);
    if (!usableIn)
        return PermitDenied{bucket.nextInvitation(longestInvitation(), now.boot)};
    m_issued.add();
    return PermitGranted{*usableIn};
}

double SendPermits::issuedShare(std::uint64_t endpoint, SteadyTime now) const
{
    const auto owners = m_owners.ownersOf(endpoint);
    const bool isOwner = std::find(owners.begin(), owners.end(), m_self) != owners.end();
    if (!isOwner)
        return 0;
    const bool isCutOff = m_routers > 1 && now - m_heardAt > IsolationTime;
    if (isCutOff)
        return 1 / static_cast<double>(m_routers);
    return m_owners.ownerToAsk(endpoint, now) == m_self ? 1 : StandbyShare;
}

milliseconds SendPermits::longestInvitation() const
{
    return LongestInvitation + LongestInvitationPerRouter * m_routers;
}

PermitBucket &SendPermits::bucketOf(std::uint64_t endpoint, SteadyTime bootNow)
{
    if (m_buckets.size() >= RateLimits::MaxEndpoints && !m_buckets.contains(endpoint))
        absl::erase_if(m_buckets,
                       [&](const auto &entry) { return !m_limits.perSecond(entry.first); });
    return m_buckets.try_emplace(endpoint, bootNow).first->second;
}

void SendPermits::giveBack(const SendPermit &permit)
{
    if (permit.issuer.empty())
        return;
    m_givenBack.add();
    if (permit.issuer == m_self)
        handleReturn({permit.endpoint});
    else if (m_send)
        m_send(permit.issuer, encodePermit(PermitReturn{permit.endpoint}));
}

void SendPermits::handleReturn(const PermitReturn &returned)
{
    const auto found = m_buckets.find(returned.endpoint);
    if (found != m_buckets.end())
        found->second.giveBack();
}

} // namespace almondmill
