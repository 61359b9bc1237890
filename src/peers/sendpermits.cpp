#include "almondmill/peers/sendpermits.h"

#include "almondmill/forward/ratelimits.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/observe/eventline.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

/// Time for which a permit can be used: that for opening a connection, and some more.
constexpr milliseconds PermitLifetime{500};

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
    , m_issuers(m_self, now.steady)
{}

asio::awaitable<std::optional<SendPermit>> SendPermits::obtain(std::uint64_t endpoint,
                                                               milliseconds maxWait)
{
    for (int asked = 0; asked < PermitIssuers::MaxAsked; ++asked) {
        const ClockTimes askedAt = ClockTimes::now();
        const auto issuer = m_issuers.issuerToAsk(endpoint, askedAt.steady);
        if (!issuer)
            break;
        const auto result = *issuer == m_self ? issue(endpoint, maxWait, askedAt)
                                              : co_await ask(*issuer, endpoint, maxWait);
        const ClockTimes now = ClockTimes::now();
        if (!result || std::holds_alternative<NotIssuer>(*result)) {
            m_issuers.recordUnanswered(*issuer, now.steady);
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
    const PermitRequest request{m_questions.nextId(), maxWait, *known};
    asio::steady_timer timer(m_loop);
    std::optional<PermitResult> result;
    m_questions.open(
            request.id, issuer, [request] { return encodePermit(request, ClockTimes::now().boot); },
            [&](std::optional<PermitResult> reply) {
                result = reply;
                timer.cancel();
            },
            steadyNow(), m_send);
    while (const auto dueAt = m_questions.dueAt(request.id)) {
        timer.expires_at(*dueAt);
        boost::system::error_code ignored; // A reply ends the wait by cancelling the timer.
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        m_questions.poll(request.id, steadyNow(), m_send);
    }
    if (result)
        co_return result;
    m_unanswered.add();
    EventLine("permit.unanswered").add("endpoint", endpoint).add("issuer", issuer);
    co_return std::nullopt;
}

bool SendPermits::handleReply(const PermitReply &reply)
{
    m_limits.record(reply.known, RateLimits::Source::Peer);
    return m_questions.complete(reply.id, reply.result);
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
    const double share = m_issuers.issuedShare(endpoint, StandbyShare, now.steady);
    if (share == 0)
        return NotIssuer{};
    const auto perSecond = m_limits.perSecond(endpoint);
    if (!perSecond) {
        m_buckets.erase(endpoint);
        return PermitGranted{};
    }
    if (m_issuers.isStarting(now.steady))
        return PermitDenied{
                std::chrono::ceil<milliseconds>(m_issuers.startedAt() + StartDelay - now.steady)};
    PermitBucket &bucket = bucketOf(endpoint, now.boot);
    const auto usableIn = bucket.take(*perSecond * share, maxWait, now.boot);
    if (!usableIn)
        return PermitDenied{bucket.nextInvitation(longestInvitation(), now.boot)};
    m_issued.add();
    return PermitGranted{*usableIn};
}

milliseconds SendPermits::longestInvitation() const
{
    return LongestInvitation + LongestInvitationPerRouter * m_issuers.routers().size();
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
