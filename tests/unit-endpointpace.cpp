// Guards the limits of endpoints that have just started or recovered, with many routers that decide
// on their own from delayed answers: a flood of first requests, an endpoint that stays idle, and a
// service whose endpoints all start together.

#include "almondmill/directory/registration.h"
#include "almondmill/forward/endpointpace.h"
#include "almondmill/forward/newendpoint.h"
#include "almondmill/forward/servicepace.h"
#include "almondmill/peers/bytebudget.h"
#include "almondmill/peers/pacemessage.h"
#include "almondmill/peers/routerplaces.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr std::uint64_t Endpoint = 4711;
constexpr std::uint32_t Slots = 6;
constexpr std::uint32_t Queue = 24;
constexpr milliseconds UsualTime{60};
constexpr milliseconds LateAfter = 3 * UsualTime + milliseconds(100);

std::string nameOfRouter(std::size_t router)
{
    return "front-" + std::to_string(router);
}

std::vector<RouterPlace> placesOf(std::size_t routers, std::uint64_t endpoint)
{
    std::vector<RouterPlace> places;
    for (std::size_t self = 0; self < routers; ++self) {
        RouterPlaces known(nameOfRouter(self));
        for (std::size_t other = 0; other < routers; ++other) {
            if (other != self)
                known.addRouter(nameOfRouter(other));
        }
        places.push_back(known.placeFor(endpoint));
    }
    return places;
}

/// An endpoint with slots and a queue whose requests take a time that may change.
struct SlowStartEndpoint
{
    std::uint32_t running = 0;
    std::deque<std::function<void(SteadyTime)>> queued;
    milliseconds work{60};
    bool rejects = false;

    std::uint32_t open() const { return running + static_cast<std::uint32_t>(queued.size()); }
};

/// Routers that would all send to one new endpoint at once, each on what it knows, in steps of a
/// millisecond. Messages take some milliseconds and may be lost.
class PacedFleet
{
public:
    PacedFleet(std::size_t routers, double demandPerSecond, double lostRatio = 0)
        : m_places(placesOf(routers, Endpoint))
        , m_demand(demandPerSecond)
        , m_lostRatio(lostRatio)
    {
        for (std::size_t router = 0; router < routers; ++router)
            m_routers.emplace_back();
    }

    SlowStartEndpoint endpoint;

    void begin(PaceCause cause)
    {
        for (Router &router : m_routers)
            router.pace.begin(cause, m_now);
    }

    void run(milliseconds length)
    {
        const SteadyTime end = m_now + length;
        for (; m_now < end; m_now += milliseconds(1)) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const auto event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            std::poisson_distribution<int> arrivals(m_demand / 1000);
            for (int count = arrivals(m_random); count > 0; --count)
                offer(m_random() % m_routers.size());
        }
    }

    std::uint32_t mostOpen() const { return m_mostOpen; }
    std::uint32_t rejections() const { return m_rejections; }
    std::uint32_t served() const { return m_served; }
    double bytesPerSecondPerRouter(milliseconds time) const
    {
        // Each broadcast is sent once on average by every router that it passes.
        return static_cast<double>(m_bytes) / std::chrono::duration<double>(time).count();
    }
    std::size_t pacedRouters() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_routers.begin(), m_routers.end(),
                              [&](const Router &router) { return router.pace.isInForce(m_now); }));
    }
    void resetCounts() { m_mostOpen = m_rejections = m_served = 0; }

private:
    struct Router
    {
        EndpointPace pace{Slots};
        std::uint32_t open = 0;
        bool isScheduled = false;
        ByteBudget budget{200, 400};
    };

    static constexpr milliseconds Latency{2};

    void after(milliseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    void offer(std::size_t index)
    {
        Router &router = m_routers[index];
        const bool isPaced = router.pace.isInForce(m_now);
        if (isPaced && router.open >= shareOf(router.pace.limitAt(m_now), m_places[index]))
            return;
        ++router.open;
        const SteadyTime sentAt = m_now;
        after(Latency, [this, index, sentAt] { arrive(index, sentAt); });
    }

    void arrive(std::size_t index, SteadyTime sentAt)
    {
        if (endpoint.rejects || endpoint.open() >= Slots + Queue) {
            ++m_rejections;
            after(Latency, [this, index, sentAt] {
                --m_routers[index].open;
                m_routers[index].pace.recordRejection(sentAt, m_now);
                announceSoon(index);
            });
            return;
        }
        endpoint.queued.push_back([this, index, sentAt](SteadyTime) {
            after(endpoint.work, [this, index, sentAt] { finish(index, sentAt); });
        });
        startQueued();
        m_mostOpen = std::max(m_mostOpen, endpoint.open());
    }

    void startQueued()
    {
        while (endpoint.running < Slots && !endpoint.queued.empty()) {
            ++endpoint.running;
            const auto start = std::move(endpoint.queued.front());
            endpoint.queued.pop_front();
            start(m_now);
        }
    }

    void finish(std::size_t index, SteadyTime sentAt)
    {
        --endpoint.running;
        ++m_served;
        startQueued();
        after(Latency, [this, index, sentAt] {
            Router &router = m_routers[index];
            --router.open;
            if (m_now - sentAt > LateAfter)
                router.pace.recordLateAnswer(sentAt, m_now);
            else
                router.pace.recordGoodAnswer(sentAt, m_places[index], m_now);
            announceSoon(index);
        });
    }

    void announceSoon(std::size_t index)
    {
        if (!m_routers[index].pace.unsent() || std::exchange(m_routers[index].isScheduled, true))
            return;
        const milliseconds delay = milliseconds(20) + m_places[index].index * milliseconds(15);
        after(std::min(delay, milliseconds(250)), [this, index] { announce(index); });
    }

    void announce(std::size_t index)
    {
        Router &router = m_routers[index];
        router.isScheduled = false;
        const auto report = router.pace.unsent();
        if (!report)
            return;
        if (!router.budget.isAvailable(m_now))
            return announceSoon(index);
        router.pace.markSent();
        const std::string bytes =
                encodePaces({nameOfRouter(index), 1ULL << 60U, 1000, {{Endpoint << 50U, *report}}});
        m_bytes += bytes.size();
        for (std::size_t other = 0; other < m_routers.size(); ++other) {
            m_routers[other].budget.spend(bytes.size(), m_now);
            const bool isLost = std::uniform_real_distribution<>()(m_random) < m_lostRatio;
            if (other != index && !isLost)
                after(milliseconds(1 + m_random() % 5),
                      [this, other, report] { m_routers[other].pace.merge(*report, m_now); });
        }
    }

    SteadyTime m_now = Start;
    std::mt19937 m_random{7};
    std::vector<RouterPlace> m_places;
    double m_demand;
    double m_lostRatio;
    std::vector<Router> m_routers;
    std::multimap<SteadyTime, std::function<void()>> m_events;
    std::uint32_t m_mostOpen = 0;
    std::uint32_t m_rejections = 0;
    std::uint32_t m_served = 0;
    std::size_t m_bytes = 0;
};

class FleetSizes : public testing::TestWithParam<std::size_t>
{};

} // namespace

// Guards against 114 first requests to an endpoint of 6 slots and 24 queued.
TEST_P(FleetSizes, SharesOfALimitAddUpToIt)
{
    const auto places = placesOf(GetParam(), Endpoint);
    for (const std::uint32_t limit : {1U, 3U, 24U, 1000U}) {
        std::uint32_t sum = 0;
        for (const RouterPlace &place : places)
            sum += shareOf(limit, place);
        EXPECT_EQ(sum, limit);
    }
}

TEST_P(FleetSizes, AnEndpointThatRecoversAtOnceIsFullyUsedWithinSecondsAndNeverFull)
{
    constexpr double Capacity = 100; // Requests per second of 6 slots and 60 ms.
    PacedFleet fleet(GetParam(), 0.8 * Capacity);
    fleet.begin(PaceCause::Start);
    fleet.run(seconds(1));
    if (GetParam() <= 14) {
        EXPECT_EQ(fleet.pacedRouters(), 0U);
    }
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.pacedRouters(), 0U);
    EXPECT_EQ(fleet.rejections(), 0U);
    fleet.resetCounts();
    fleet.run(seconds(1));
    EXPECT_EQ(fleet.rejections(), 0U);
    EXPECT_GT(fleet.served(), 0.6 * Capacity);
}

// Guards against an endpoint at a tenth of its speed that is filled before the first late answer:
// its callers wait for 300 ms.
TEST_P(FleetSizes, ASlowEndpointIsNotFlooded)
{
    PacedFleet fleet(GetParam(), 400);
    fleet.endpoint.work = 10 * UsualTime;
    fleet.begin(PaceCause::Start);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.rejections(), 0U);
    EXPECT_LE(fleet.mostOpen(), 2 * Slots);
    EXPECT_GT(fleet.served(), 3U);
    fleet.endpoint.work = UsualTime;
    fleet.run(seconds(8));
    fleet.resetCounts();
    fleet.run(seconds(1));
    EXPECT_GT(fleet.served(), 50U);
}

// Guards against an endpoint that is asked by all routers again and again while it turns all away,
// and against one that is forgotten afterwards.
TEST_P(FleetSizes, AnEndpointThatRejectsIsAskedSeldomAndUsedAgain)
{
    PacedFleet fleet(GetParam(), 400);
    fleet.endpoint.rejects = true;
    fleet.begin(PaceCause::Pause);
    fleet.run(seconds(1));
    fleet.resetCounts();
    fleet.run(seconds(4));
    EXPECT_LT(fleet.rejections(), 0.2 * 4 * 400);
    fleet.endpoint.rejects = false;
    fleet.run(seconds(6));
    fleet.resetCounts();
    fleet.run(seconds(1));
    EXPECT_GT(fleet.served(), 50U);
}

TEST_P(FleetSizes, LostMessagesLeaveEachRouterItsShare)
{
    PacedFleet fleet(GetParam(), 80, 0.5);
    fleet.begin(PaceCause::Start);
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.rejections(), 0U);
    EXPECT_EQ(fleet.pacedRouters(), 0U);
}

TEST_P(FleetSizes, MessagesStayWithinTheirBytes)
{
    PacedFleet fleet(GetParam(), 400);
    fleet.endpoint.work = 5 * UsualTime;
    for (int flap = 0; flap < 10; ++flap) {
        fleet.begin(PaceCause::Start);
        fleet.run(seconds(1));
    }
    EXPECT_LT(fleet.bytesPerSecondPerRouter(seconds(10)), 200 + 400.0 / 10);
}

INSTANTIATE_TEST_SUITE_P(Routers, FleetSizes, testing::Values(1, 14, 114, 320));

// Guards against a service that refuses requests because all of its endpoints start together.
TEST_P(FleetSizes, AServiceThatStartsAsAWholeUsesItsSlotsAndRefusesNoFirstRequest)
{
    constexpr std::size_t Endpoints = 4;
    std::vector<EndpointPace> paces(Endpoints, EndpointPace(Slots));
    std::vector<std::uint32_t> sums(Endpoints);
    for (EndpointPace &pace : paces)
        pace.begin(PaceCause::Start, Start);
    std::vector<std::vector<RouterPlace>> places;
    for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint)
        places.push_back(placesOf(GetParam(), endpoint));
    for (std::size_t router = 0; router < GetParam(); ++router) {
        std::vector<PacedCandidate> candidates;
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint)
            candidates.push_back({&paces[endpoint], Slots, places[endpoint][router]});
        const auto bounds = pacedBounds(candidates, Start);
        EXPECT_TRUE(
                std::any_of(bounds.begin(), bounds.end(), [](auto bound) { return bound > 0; }));
        for (std::size_t endpoint = 0; endpoint < Endpoints; ++endpoint)
            sums[endpoint] += bounds[endpoint];
    }
    for (const std::uint32_t sum : sums)
        EXPECT_GE(sum, Slots);
}

// Guards against a fast ramp at one new endpoint of many, and against unbounded others being bound.
TEST(ServicePace, OneNewEndpointOfManyKeepsItsOwnLimit)
{
    const EndpointPace normal(Slots);
    EndpointPace paced(Slots);
    paced.begin(PaceCause::Start, Start);
    const std::vector<PacedCandidate> candidates{{&normal, Slots, {}},
                                                 {&normal, Slots, {}},
                                                 {&normal, Slots, {}},
                                                 {&paced, Slots, {113, 114}}};
    EXPECT_EQ(pacedBounds(candidates, Start),
              (std::vector<std::uint32_t>{NoBound, NoBound, NoBound, 0}));
}

// Guards against requests that are refused while routers and endpoints start together: routers knew
// no fleet to divide the limits by, and the endpoints had room in their queues.
TEST(ServicePace, AServiceThatStartsAsAWholeIsNotBoundByARouterThatKnowsNoFleet)
{
    EndpointPace paced(Slots);
    paced.begin(PaceCause::Start, Start);
    const EndpointPace normal(Slots);
    const RouterPlace unknown{319, 320, false};
    const std::vector<PacedCandidate> whole{{&paced, Slots, unknown}, {&paced, Slots, unknown}};
    EXPECT_EQ(pacedBounds(whole, Start), (std::vector<std::uint32_t>{NoBound, NoBound}));
    const std::vector<PacedCandidate> known{{&paced, Slots, {0, 1}}};
    EXPECT_GT(pacedBounds(known, Start).front(), Slots);
    EndpointPace resuming(Slots);
    resuming.begin(PaceCause::Pause, Start);
    const std::vector<PacedCandidate> paused{{&resuming, Slots, {0, 1}}};
    EXPECT_LE(pacedBounds(paused, Start).front(), Slots);
}

// Guards against a router without a list of routers that takes the whole limit.
TEST(RouterPlaces, ARouterThatDoesNotKnowTheFleetTakesTheLastPlace)
{
    RouterPlaces places("front-1");
    places.setUnknown();
    EXPECT_EQ(shareOf(24, places.placeFor(Endpoint)), 0U);
    places.setKnown();
    EXPECT_EQ(shareOf(24, places.placeFor(Endpoint)), 24U);
}

// Guards against a broken path of one router that slows an endpoint down for all.
TEST(EndpointPace, FailuresOfOneRoutersConnectionsStayItsOwn)
{
    EndpointPace pace(Slots);
    EXPECT_FALSE(pace.recordFailure(Start, Start));
    EXPECT_FALSE(pace.recordFailure(Start, Start));
    EXPECT_TRUE(pace.recordFailure(Start, Start));
    EXPECT_TRUE(pace.isInForce(Start));
    EXPECT_TRUE(pace.recordFailure(Start, Start + milliseconds(1)));
    EXPECT_FALSE(pace.unsent());
    EXPECT_TRUE(pace.isInForce(Start + seconds(1)));
    EXPECT_FALSE(pace.isInForce(Start + seconds(30)));
}

// Guards against a second reduction by the requests that were on their way at the first.
TEST(EndpointPace, RejectionsOfOneMomentReduceOnce)
{
    EndpointPace pace(12);
    pace.begin(PaceCause::Start, Start);
    EXPECT_TRUE(pace.recordRejection(Start, Start + milliseconds(5)));
    EXPECT_FALSE(pace.recordRejection(Start + milliseconds(1), Start + milliseconds(6)));
    EXPECT_EQ(pace.limitAt(Start + milliseconds(6)), 3U);
}

// Guards against paces at a router's own start, and against new processes that are taken for old.
TEST(NewEndpoint, IsToldFromOneThatIsOnlyNewToTheRouter)
{
    Registration registration;
    registration.startedAt = std::chrono::hours(1000);
    const milliseconds minuteLater = registration.startedAt + std::chrono::minutes(1);
    EXPECT_FALSE(isNewEndpoint(registration, seconds(1), minuteLater));
    EXPECT_TRUE(isNewEndpoint(registration, seconds(60), minuteLater));
    EXPECT_TRUE(isNewEndpoint(registration, seconds(0), registration.startedAt + seconds(1)));
}

// Guards against routers that end with different limits after the same reports in another order.
RC_GTEST_PROP(EndpointPaceProperty, TheOrderOfReportsMakesNoDifference, ())
{
    std::vector<PaceReport> reports;
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    reports.reserve(count);
    while (reports.size() < count)
        reports.push_back({*rc::gen::inRange(1U, 3U), *rc::gen::inRange(0U, 4U),
                           1U << *rc::gen::inRange(0U, 6U)});
    EndpointPace first(Slots);
    EndpointPace second(Slots);
    first.begin(PaceCause::Start, Start);
    second.begin(PaceCause::Start, Start);
    for (const PaceReport &report : reports)
        first.merge(report, Start);
    std::reverse(reports.begin(), reports.end());
    for (const PaceReport &report : reports)
        second.merge(report, Start);
    RC_ASSERT(first.limitAt(Start) == second.limitAt(Start));
    RC_ASSERT(first.cuts() == second.cuts());
}

TEST(PaceMessage, ReadsWhatItWroteAndNothingElse)
{
    const PaceMessage message{"front-1", 5, 9, {{Endpoint, {2, 3, 12}}, {8, {1, 0, 48}}}};
    const std::string bytes = encodePaces(message);
    const auto read = decodePaces(bytes);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->origin, message.origin);
    EXPECT_EQ(read->sequence, message.sequence);
    ASSERT_EQ(read->entries.size(), 2U);
    EXPECT_EQ(read->entries.front().endpoint, Endpoint);
    EXPECT_EQ(read->entries.front().report, message.entries.front().report);
    for (std::size_t length = 0; length < bytes.size(); ++length)
        EXPECT_FALSE(decodePaces(bytes.substr(0, length)));
}

} // namespace almondmill::test
