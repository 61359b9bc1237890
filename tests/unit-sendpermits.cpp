// Guards the limits of endpoints that all routers keep together: the sum of what they send, that a
// limit is used, and the bytes that it takes, with lost datagrams and routers that end.

#include "almondmill/forward/ratelimits.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/clocktimes.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/keyowners.h"
#include "almondmill/peers/permitmessages.h"
#include "almondmill/peers/ratelimitmessage.h"
#include "almondmill/peers/sendpermits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bytes that IP and UDP add to a datagram.
constexpr std::size_t DatagramHeaderBytes = 28;

/// Interval at which each router hears from some peer.
constexpr milliseconds MessageInterval{250};

std::string nameOf(std::size_t router)
{
    return "front-" + std::to_string(router);
}

std::size_t numberOf(const std::string &name)
{
    return std::stoul(name.substr(name.find('-') + 1));
}

/// Routers that send requests to endpoints with a rate limit, over a network that loses datagrams.
class PermitFleet
{
public:
    struct Options
    {
        std::size_t routers = 14;
        std::size_t endpoints = 4;
        double perSecond = 3;   ///< Limit of each endpoint.
        double requestRate = 4; ///< Requests per second of each router.
        double lostRatio = 0;   ///< Of the datagrams.
    };

    explicit PermitFleet(const Options &options)
        : m_options(options)
    {
        for (std::size_t router = 0; router < options.routers; ++router)
            m_routers.push_back(std::make_unique<Router>(m_loop, nameOf(router), m_metrics));
        for (std::size_t router = 0; router < options.routers; ++router)
            connect(router);
    }

    /// A key of the first endpoint; the others follow.
    static constexpr std::uint64_t FirstEndpoint = 1000;

    /// Routers of different groups don't reach each other.
    void setGroup(std::size_t router, int group) { m_routers[router]->group = group; }

    /// The router sends and receives nothing until it is started again, without what it knew.
    void stop(std::size_t router) { m_routers[router]->isStopped = true; }

    void announceLeaving(std::size_t router)
    {
        m_routers[router]->permits.leave();
        m_routers[router]->isLeaving = true;
    }

    std::size_t issuerOf(std::uint64_t endpoint) const
    {
        KeyOwners owners;
        for (std::size_t router = 0; router < m_routers.size(); ++router)
            owners.addRouter(nameOf(router));
        return numberOf(owners.ownersOf(endpoint).front());
    }

    void at(milliseconds time, std::function<void()> action)
    {
        boost::asio::co_spawn(m_loop, runAt(time, std::move(action)), boost::asio::detached);
    }

    void run(milliseconds length)
    {
        for (std::size_t router = 0; router < m_routers.size(); ++router)
            boost::asio::co_spawn(m_loop, sendRequests(router), boost::asio::detached);
        boost::asio::co_spawn(m_loop, exchangeMessages(), boost::asio::detached);
        m_length = length;
        m_loop.run_for(length);
    }

    /// The most requests that any endpoint gets in 4 s.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (const auto &[endpoint, times] : m_uses) {
            for (auto first = times.begin(); first != times.end(); ++first) {
                const auto end = std::lower_bound(first, times.end(), *first + seconds(4));
                most = std::max(most, static_cast<std::size_t>(end - first));
            }
        }
        return most;
    }

    /// As the users state it.
    double allowedInWindow() const { return 1.5 * 4 * m_options.perSecond + 5; }

    /// Ratio of the permits that the limits allow after the start of the routers.
    double usedRatio() const
    {
        std::size_t uses = 0;
        for (const auto &[endpoint, times] : m_uses)
            uses += times.size();
        const std::chrono::duration<double> time = m_length - SendPermits::StartDelay;
        return static_cast<double>(uses)
               / (time.count() * m_options.perSecond * static_cast<double>(m_options.endpoints));
    }

    double averageBytesPerSecond() const
    {
        std::size_t bytes = 0;
        for (const auto &router : m_routers)
            bytes += router->sentBytes;
        return static_cast<double>(bytes) / static_cast<double>(m_routers.size())
               / std::chrono::duration<double>(m_length).count();
    }

    double mostBytesPerSecond() const
    {
        std::size_t most = 0;
        for (const auto &router : m_routers)
            most = std::max(most, router->sentBytes);
        return static_cast<double>(most) / std::chrono::duration<double>(m_length).count();
    }

private:
    struct Router
    {
        Router(boost::asio::io_context &loop, const std::string &name, Metrics &metrics)
            : permits(loop, name, limits, metrics, ClockTimes::now())
        {}

        RateLimits limits;
        SendPermits permits;
        int group = 0;
        bool isStopped = false;
        bool isLeaving = false;
        std::size_t sentBytes = 0;
    };

    void connect(std::size_t router)
    {
        Router &self = *m_routers[router];
        self.permits.start([this, router](const std::string &to, std::string_view bytes) {
            send(router, numberOf(to), std::string(bytes));
        });
        for (std::size_t other = 0; other < m_routers.size(); ++other) {
            if (other != router)
                self.permits.addRouter(nameOf(other));
        }
        for (std::size_t index = 0; index < m_options.endpoints; ++index)
            self.limits.record(
                    {FirstEndpoint + index, {m_options.perSecond, bootTime(), bootTime()}},
                    RateLimits::Source::Peer);
    }

    bool reaches(std::size_t from, std::size_t to) const
    {
        const Router &sender = *m_routers[from];
        const Router &receiver = *m_routers[to];
        return !sender.isStopped && !receiver.isStopped && sender.group == receiver.group;
    }

    void send(std::size_t from, std::size_t to, std::string bytes)
    {
        m_routers[from]->sentBytes += bytes.size() + DatagramHeaderBytes;
        const bool isLost =
                std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.lostRatio;
        if (isLost || !reaches(from, to))
            return;
        boost::asio::post(m_loop,
                          [this, from, to, copy = std::move(bytes)] { receive(from, to, copy); });
    }

    void receive(std::size_t from, std::size_t to, const std::string &bytes)
    {
        SendPermits &permits = m_routers[to]->permits;
        const ClockTimes now = ClockTimes::now();
        if (const auto request = decodePermitRequest(bytes, now.boot)) {
            send(to, from, encodePermit(permits.answer(*request, now), now.boot));
        } else if (const auto reply = decodePermitReply(bytes, now.boot)) {
            const bool isAwaited = permits.handleReply(*reply);
            if (!isAwaited && std::holds_alternative<PermitGranted>(reply->result))
                send(to, from, encodePermit(PermitReturn{reply->known.endpoint}));
        } else if (const auto returned = decodePermitReturn(bytes)) {
            permits.handleReturn(*returned);
        }
    }

    boost::asio::awaitable<void> runAt(milliseconds time, std::function<void()> action)
    {
        co_await sleepFor(m_loop, time);
        action();
    }

    boost::asio::awaitable<void> exchangeMessages()
    {
        for (;;) {
            co_await sleepFor(m_loop, MessageInterval);
            for (std::size_t router = 0; router < m_routers.size(); ++router) {
                const std::size_t peer = m_random() % m_routers.size();
                if (peer != router && reaches(peer, router))
                    m_routers[router]->permits.recordMessage(
                            nameOf(peer), m_routers[peer]->isLeaving, steadyNow());
            }
        }
    }

    boost::asio::awaitable<void> sendRequests(std::size_t router)
    {
        for (;;) {
            const double pause =
                    std::exponential_distribution<double>(m_options.requestRate)(m_random);
            co_await sleepFor(m_loop, milliseconds(static_cast<int>(pause * 1000)));
            Router &self = *m_routers[router];
            const std::uint64_t endpoint = FirstEndpoint + m_random() % m_options.endpoints;
            if (self.isStopped || self.limits.withheldUntil(endpoint, bootTime()))
                continue;
            if (co_await self.permits.obtain(endpoint, milliseconds(0)))
                m_uses[endpoint].push_back(steadyNow());
        }
    }

    const Options m_options;
    boost::asio::io_context m_loop;
    Metrics m_metrics;
    std::mt19937_64 m_random{7};
    std::vector<std::unique_ptr<Router>> m_routers;
    std::map<std::uint64_t, std::vector<SteadyTime>> m_uses; ///< By endpoint.
    milliseconds m_length{0};
};

} // namespace

// Issue 28: fourteen routers together stay within a limit that each of them alone is far below, and
// use it.
TEST(SendPermits, TheSumOfAllRoutersStaysWithinTheLimitThoughDatagramsAreLost)
{
    PermitFleet fleet({.lostRatio = 0.03});
    fleet.run(seconds(9));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow()), fleet.allowedInWindow());
    EXPECT_GE(fleet.usedRatio(), 0.7);
}

// Guards against two full issuers, one after the other, and against none for long.
TEST(SendPermits, TheSumHoldsWhenAnIssuerEndsAndAnotherLeaves)
{
    PermitFleet fleet({.endpoints = 2, .perSecond = 4});
    const std::size_t issuer = fleet.issuerOf(PermitFleet::FirstEndpoint);
    const std::size_t other = fleet.issuerOf(PermitFleet::FirstEndpoint + 1);
    fleet.at(milliseconds(4000), [&] { fleet.stop(issuer); });
    if (other != issuer)
        fleet.at(milliseconds(5500), [&] { fleet.announceLeaving(other); });
    fleet.run(seconds(10));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow()), fleet.allowedInWindow());
    EXPECT_GE(fleet.usedRatio(), 0.6);
}

// Guards against a router that is cut off and sends as if it were alone.
TEST(SendPermits, ARouterThatIsCutOffTakesOnlyItsPartOfTheLimit)
{
    PermitFleet fleet({.routers = 6, .endpoints = 1, .perSecond = 6, .requestRate = 40});
    const std::size_t issuer = fleet.issuerOf(PermitFleet::FirstEndpoint);
    fleet.at(milliseconds(3500), [&] { fleet.setGroup(issuer, 1); });
    fleet.run(seconds(11));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow()), fleet.allowedInWindow());
}

// The control traffic of a router is bounded by 2 KB/s at 320 routers; a limited endpoint that
// everybody wants must not take it all.
TEST(SendPermits, BytesOfARouterStayWithinTheirBoundAt320Routers)
{
    PermitFleet fleet({.routers = 320, .endpoints = 160, .perSecond = 3, .requestRate = 3});
    fleet.run(seconds(8));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow()), fleet.allowedInWindow());
    EXPECT_GE(fleet.usedRatio(), 0.7);
    EXPECT_LE(fleet.averageBytesPerSecond(), 1000);
    EXPECT_LE(fleet.mostBytesPerSecond(), 2000);
}

TEST(SendPermits, BytesStayBoundedWhenAllOf320RoutersWantFewEndpoints)
{
    PermitFleet fleet({.routers = 320, .endpoints = 8, .perSecond = 2, .requestRate = 3});
    fleet.run(seconds(8));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow()), fleet.allowedInWindow());
    EXPECT_LE(fleet.averageBytesPerSecond(), 500);
}

namespace {

RateLimitReport anyReport(SteadyTime bootNow)
{
    const auto rate = *rc::gen::maybe(rc::gen::inRange(0, 1000));
    const milliseconds askedAge(*rc::gen::inRange(0, 100000));
    const milliseconds heardAge(*rc::gen::inRange(0, 100000));
    return {*rc::gen::arbitrary<std::uint64_t>(),
            {rate ? std::optional(*rate / 10.0) : std::nullopt, bootNow - askedAge,
             bootNow - heardAge}};
}

bool isSame(const RateLimitReport &one, const RateLimitReport &other)
{
    return one.endpoint == other.endpoint && one.statement.perSecond == other.statement.perSecond
           && one.statement.askedAt == other.statement.askedAt
           && one.statement.heardAt == other.statement.heardAt;
}

} // namespace

RC_GTEST_PROP(PermitMessages, RoundTripThroughEncoding, ())
{
    const SteadyTime now = bootTime();
    const PermitRequest request{*rc::gen::arbitrary<std::uint32_t>(),
                                milliseconds(*rc::gen::inRange(0, 1000)), anyReport(now)};
    const auto decoded = decodePermitRequest(encodePermit(request, now), now);
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded->id == request.id);
    RC_ASSERT(decoded->maxWait == request.maxWait);
    RC_ASSERT(isSame(decoded->known, request.known));
    const PermitReply reply{request.id, PermitDenied{milliseconds(*rc::gen::inRange(0, 1000))},
                            anyReport(now)};
    const auto answer = decodePermitReply(encodePermit(reply, now), now);
    RC_ASSERT(answer.has_value());
    RC_ASSERT(std::get<PermitDenied>(answer->result).askAgainIn
              == std::get<PermitDenied>(reply.result).askAgainIn);
    RC_ASSERT(isSame(answer->known, reply.known));
    const RateLimitMessage message{"front-1", 5, 6, {anyReport(now), anyReport(now)}};
    const auto limits = decodeRateLimits(encodeRateLimits(message, now), now);
    RC_ASSERT(limits.has_value());
    RC_ASSERT(limits->reports.size() == 2U);
    RC_ASSERT(isSame(limits->reports[1], message.reports[1]));
}

RC_GTEST_PROP(PermitMessages, ArbitraryBytesAreNoMessages, ())
{
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    RC_ASSERT(!decodePermitRequest(bytes, bootTime()));
    RC_ASSERT(!decodePermitReply(bytes, bootTime()));
    RC_ASSERT(!decodePermitReturn(bytes));
    RC_ASSERT(!decodeRateLimits(bytes, bootTime()));
}

} // namespace almondmill::test
