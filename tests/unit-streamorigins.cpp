// What routers know, alone and together, of the software at which a stream began.

#include "almondmill/directory/registration.h"
#include "almondmill/forward/softwarehistory.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/peers/streamorigins.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *Service = "llm";

Registration endpointOf(const std::string &version)
{
    Registration entry;
    entry.id = "e-" + version;
    entry.service = Service;
    entry.softwareVersion = version;
    return entry;
}

SoftwareHash hashOf(const std::string &version)
{
    return softwareHash(endpointOf(version));
}

/// A fleet of routers that share the origins of streams. Datagrams arrive through the event loop.
/// Each router has its own view of the store's registrations.
class Fleet
{
public:
    explicit Fleet(std::size_t size)
    {
        m_routers.resize(size);
        for (std::size_t router = 0; router < size; ++router)
            m_routers[router].name = "r" + std::to_string(router);
        for (std::size_t router = 0; router < size; ++router)
            start(router);
    }

    std::size_t size() const { return m_routers.size(); }

    /// Starts the router's process anew; it knows the endpoints that are registered, if it can read
    /// them.
    void start(std::size_t router)
    {
        Router &started = m_routers[router];
        started.origins.reset();
        started.history = std::make_unique<SoftwareHistory>();
        started.missed.clear();
        for (const std::string &version : m_versions) {
            started.missed.emplace_back([this, version](SoftwareHistory &history) {
                history.added(endpointOf(version), m_now);
            });
        }
        if (!isCutOff(router) && !m_isStoreDown)
            catchUp(started);
        started.origins = std::make_unique<StreamOrigins>(m_loop, *started.history);
        started.origins->start(started.name,
                               [this, router](const std::string &to, std::string_view bytes) {
                                   deliver(router, to, std::string(bytes));
                               });
        started.origins->setView({[this, router](SteadyTime) { return isFresh(router); },
                                  [this, router] { return confirm(router); }});
        for (const Router &other : m_routers) {
            if (other.name != started.name)
                started.origins->addRouter(other.name);
        }
    }

    void stop(std::size_t router) { m_routers[router].origins.reset(); }

    /// Cuts these routers off from the store and from all others but each other.
    void cutOff(const std::set<std::size_t> &routers) { m_cutOff = routers; }

    /// Ends the cut. The routers don't know yet what they missed.
    void heal() { m_cutOff.clear(); }

    void setStoreDown(bool isDown) { m_isStoreDown = isDown; }

    /// Registers an endpoint of the version. Routers that are cut off don't learn of it.
    void add(const std::string &version)
    {
        m_versions.insert(version);
        change([this, version](SoftwareHistory &history) {
            history.added(endpointOf(version), m_now);
        });
    }

    void remove(const std::string &version)
    {
        m_versions.erase(version);
        change([this, version](SoftwareHistory &history) {
            history.removed(endpointOf(version), m_now);
        });
    }

    SteadyTime now() const { return m_now; }
    void pass(std::chrono::milliseconds time) { m_now += time; }

    /// Lets a stream begin at the router and an endpoint of that version.
    void begin(std::size_t router, const std::string &stream, const std::string &version)
    {
        m_routers[router].origins->record(stream, Service, hashOf(version), m_now);
        run();
    }

    void reportOpen()
    {
        for (const Router &router : m_routers) {
            if (router.origins)
                router.origins->reportOpen(m_now);
        }
        run();
    }

    /// Where the stream may go on, as found at the router; nothing when it is not known there.
    std::optional<SoftwareHash> find(std::size_t router, const std::string &stream)
    {
        return findAll(router, {stream}).front();
    }

    /// Takes all these streams up at the same time.
    std::vector<std::optional<SoftwareHash>> findAll(std::size_t router,
                                                     const std::vector<std::string> &streams)
    {
        std::vector<std::optional<SoftwareHash>> found(streams.size());
        for (std::size_t stream = 0; stream < streams.size(); ++stream) {
            boost::asio::co_spawn(m_loop,
                                  m_routers[router].origins->find(streams[stream], Service, m_now),
                                  [&found, stream](const std::exception_ptr &,
                                                   std::optional<SoftwareHash> result) {
                                      found[stream] = result;
                                  });
        }
        run();
        return found;
    }

private:
    using Change = std::function<void(SoftwareHistory &)>;

    struct Router
    {
        std::string name;
        std::unique_ptr<SoftwareHistory> history;
        std::unique_ptr<StreamOrigins> origins;
        std::vector<Change> missed; ///< Changes that the store has and this router doesn't know.
    };

    bool isCutOff(std::size_t router) const { return m_cutOff.contains(router); }

    bool isFresh(std::size_t router) const
    {
        return !m_isStoreDown && !isCutOff(router) && m_routers[router].missed.empty();
    }

    /// Reads the changes that the router has missed, if it reaches the store.
    boost::asio::awaitable<bool> confirm(std::size_t router)
    {
        if (m_isStoreDown || isCutOff(router))
            co_return false;
        catchUp(m_routers[router]);
        co_return true;
    }

    static void catchUp(Router &router)
    {
        for (const Change &missed : std::exchange(router.missed, {}))
            missed(*router.history);
    }

    void change(const Change &change)
    {
        for (std::size_t router = 0; router < size(); ++router) {
            if (isCutOff(router) || !m_routers[router].missed.empty())
                m_routers[router].missed.push_back(change);
            else
                change(*m_routers[router].history);
        }
    }

    void run()
    {
        m_loop.restart();
        m_loop.run();
    }

    void deliver(std::size_t from, const std::string &to, const std::string &bytes)
    {
        for (std::size_t router = 0; router < size(); ++router) {
            if (m_routers[router].name == to && isCutOff(router) == isCutOff(from))
                boost::asio::post(m_loop, [=, this] { receive(from, router, bytes); });
        }
    }

    void receive(std::size_t from, std::size_t router, const std::string &bytes)
    {
        StreamOrigins *origins = m_routers[router].origins.get();
        if (!origins)
            return;
        if (const auto report = decodeStreamOriginReport(bytes))
            origins->handleReport(*report, m_now);
        if (const auto question = decodeStreamOriginQuestion(bytes))
            deliver(router, m_routers[from].name,
                    encodeStreamOrigin(origins->answer(*question, m_now)));
        if (const auto reply = decodeStreamOriginReply(bytes))
            origins->handleReply(*reply);
    }

    boost::asio::io_context m_loop;
    SteadyTime m_now{std::chrono::hours(1)};
    std::set<std::string> m_versions;
    std::vector<Router> m_routers;
    std::set<std::size_t> m_cutOff;
    bool m_isStoreDown = false;
};

constexpr auto LongAgo = SoftwareHistory::Retention + seconds(1);

std::string streamName(std::size_t number)
{
    return "stream-" + std::to_string(number);
}

} // namespace

TEST(SoftwareHistory, KnowsTheOnlyVersionAfterALongEnoughTime)
{
    const SteadyTime start{std::chrono::hours(1)};
    const std::uint32_t service = shortHash(Service);
    SoftwareHistory history;
    EXPECT_FALSE(soleSoftware(history.recent(service, start)));
    history.added(endpointOf("v1"), start);
    EXPECT_FALSE(soleSoftware(history.recent(service, start + seconds(1))));
    EXPECT_EQ(soleSoftware(history.recent(service, start + LongAgo)), hashOf("v1"));
}

TEST(SoftwareHistory, RemembersAVersionThatHasGone)
{
    const SteadyTime start{std::chrono::hours(1)};
    const std::uint32_t service = shortHash(Service);
    SoftwareHistory history;
    history.added(endpointOf("v1"), start);
    const SteadyTime later = start + 2 * LongAgo;
    history.added(endpointOf("v2"), later);
    EXPECT_TRUE(std::holds_alternative<MixedSoftware>(history.recent(service, later)));
    history.removed(endpointOf("v1"), later + seconds(1));
    EXPECT_TRUE(std::holds_alternative<MixedSoftware>(history.recent(service, later + seconds(9))));
    EXPECT_EQ(soleSoftware(history.recent(service, later + seconds(1) + LongAgo)), hashOf("v2"));
}

TEST(StreamOrigins, TheRouterThatPassedEventsOnKnows)
{
    Fleet fleet(1);
    fleet.add("v1");
    fleet.add("v2");
    fleet.begin(0, "s", "v2");
    EXPECT_EQ(fleet.find(0, "s"), hashOf("v2"));
    EXPECT_EQ(fleet.find(0, "another"), std::nullopt);
}

TEST(StreamOrigins, ASoleVersionNeedsNoOrigin)
{
    Fleet fleet(5);
    fleet.add("v1");
    fleet.pass(LongAgo);
    EXPECT_EQ(fleet.find(0, "s"), hashOf("v1"));
    // A router that has just started learns from others that there was no other version.
    fleet.start(0);
    EXPECT_EQ(fleet.find(0, "s"), hashOf("v1"));
}

// Guards against take-ups at any version after all routers were killed at once.
TEST(StreamOrigins, NobodyKnowsAfterAllRoutersWereKilled)
{
    Fleet fleet(5);
    fleet.add("v1");
    fleet.add("v2");
    fleet.begin(0, "s", "v1");
    fleet.remove("v1"); // Its endpoints left meanwhile.
    for (std::size_t router = 0; router < fleet.size(); ++router)
        fleet.start(router);
    for (std::size_t router = 0; router < fleet.size(); ++router)
        EXPECT_EQ(fleet.find(router, "s"), std::nullopt);
    fleet.begin(0, "later", "v2");
    EXPECT_EQ(fleet.find(3, "later"), hashOf("v2"));
}

// Guards against take-ups that are refused at routers that went on when many others were killed.
TEST(StreamOrigins, MostStreamsAreKnownWhenMostRoutersWereKilled)
{
    constexpr std::size_t Routers = 14;
    constexpr std::size_t Killed = 10;
    constexpr std::size_t Streams = 400;
    Fleet fleet(Routers);
    fleet.add("v1");
    fleet.add("v2");
    for (std::size_t stream = 0; stream < Streams; ++stream)
        fleet.begin(stream % Killed, streamName(stream), stream % 3 == 0 ? "v1" : "v2");
    for (std::size_t router = 0; router < Killed; ++router)
        fleet.start(router);
    std::size_t known = 0;
    for (std::size_t stream = 0; stream < Streams; ++stream) {
        const auto found = fleet.find(Killed + stream % (Routers - Killed), streamName(stream));
        if (!found)
            continue;
        EXPECT_EQ(*found, hashOf(stream % 3 == 0 ? "v1" : "v2"));
        ++known;
    }
    EXPECT_GT(2 * known, Streams);
}

TEST(StreamOrigins, StreamsThatBeganBeforeASecondVersionAreReportedThen)
{
    Fleet fleet(6);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.begin(0, "s", "v1");
    fleet.add("v2");
    fleet.reportOpen();
    fleet.start(0);
    for (std::size_t router = 0; router < fleet.size(); ++router)
        EXPECT_EQ(fleet.find(router, "s"), hashOf("v1")) << router;
}

// Guards against a router that hasn't learned of a second version yet and takes streams for those
// of the only one it knows.
TEST(StreamOrigins, ARouterThatLearnsLateAsksTheOthers)
{
    Fleet fleet(6);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.cutOff({0});
    fleet.add("v2");
    fleet.heal();
    fleet.begin(1, "s", "v2");
    EXPECT_EQ(fleet.find(0, "s"), hashOf("v2"));
    EXPECT_EQ(fleet.find(0, "unknown"), std::nullopt);
}

TEST(StreamOrigins, WithoutAnAnswerNothingIsKnown)
{
    Fleet fleet(3);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.stop(1);
    fleet.stop(2);
    fleet.setStoreDown(true);
    EXPECT_EQ(fleet.find(0, "s"), std::nullopt);
}

// Guards against refusing streams because their owners are gone, though the store shows that there
// was one version only (review/15).
TEST(StreamOrigins, StreamsOfTheOnlyVersionGoOnWhenMostRoutersAreGone)
{
    constexpr std::size_t Routers = 14;
    constexpr std::size_t Left = 2;
    Fleet fleet(Routers);
    fleet.add("v1");
    fleet.pass(LongAgo);
    for (std::size_t router = Left; router < Routers; ++router)
        fleet.stop(router);
    for (std::size_t stream = 0; stream < 48; ++stream)
        EXPECT_EQ(fleet.find(stream % Left, streamName(stream)), hashOf("v1")) << stream;
}

// Guards against a router that is cut off and trusts what it knew before because nobody answers.
TEST(StreamOrigins, ARouterThatIsCutOffContinuesNoStreamOfOthers)
{
    Fleet fleet(6);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.cutOff({0});
    fleet.add("v2");
    fleet.begin(1, "s", "v2");
    EXPECT_EQ(fleet.find(0, "s"), std::nullopt);
}

// Guards against a router that stood still and trusts what it knew before, because no other router
// answers or only ones that have just started and know nothing yet.
TEST(StreamOrigins, ARouterThatStoodStillReadsTheStoreFirst)
{
    for (const bool haveOthersStarted : {false, true}) {
        Fleet fleet(6);
        fleet.add("v1");
        fleet.pass(LongAgo);
        fleet.cutOff({0});
        fleet.add("v2");
        fleet.begin(1, "s", "v2");
        fleet.heal();
        fleet.setStoreDown(true);
        for (std::size_t router = 1; router < fleet.size(); ++router) {
            if (haveOthersStarted)
                fleet.start(router);
            else
                fleet.stop(router);
        }
        fleet.setStoreDown(false);
        EXPECT_EQ(fleet.find(0, "s"), std::nullopt) << haveOthersStarted;
    }
}

// Guards against routers that are cut off together and confirm to each other what they knew before.
TEST(StreamOrigins, RoutersThatAreCutOffTogetherContinueNoStreamOfOthers)
{
    constexpr std::size_t Streams = 100;
    Fleet fleet(14);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.cutOff({0, 1, 2});
    fleet.add("v2");
    std::vector<std::string> names;
    for (std::size_t stream = 0; stream < Streams; ++stream) {
        names.push_back(streamName(stream));
        fleet.begin(3 + stream % 11, names.back(), "v2");
    }
    for (std::size_t router = 0; router < 3; ++router) {
        for (const auto &found : fleet.findAll(router, names))
            EXPECT_EQ(found, std::nullopt);
    }
}

// Guards against any sequence of cuts, outages of the store, kills and releases that lets a stream
// go on at another version than the one that began it.
TEST(StreamOrigins, CutsAtRandomNeverJoinTwoVersions)
{
    constexpr std::size_t Routers = 6;
    constexpr int Steps = 60;
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
        std::mt19937 random(seed);
        const auto draw = [&](std::size_t bound) { return std::size_t(random()) % bound; };
        Fleet fleet(Routers);
        fleet.add("v0");
        fleet.pass(LongAgo);
        std::string newest = "v0";
        std::size_t cutOff = Routers; // None.
        std::vector<std::string> names;
        std::vector<SoftwareHash> origins;
        for (int step = 0; step < Steps; ++step) {
            const std::size_t router = draw(Routers);
            switch (draw(8)) {
            case 0:
                newest = "v" + std::to_string(step);
                fleet.setStoreDown(false);
                fleet.add(newest);
                break;
            case 1:
                fleet.start(router);
                break;
            case 2:
                cutOff = router;
                fleet.cutOff({router});
                break;
            case 3:
                cutOff = Routers;
                fleet.heal();
                break;
            case 4:
                fleet.setStoreDown(true);
                break;
            case 5:
                fleet.pass(seconds(draw(5)));
                break;
            default:
                if (router == cutOff)
                    break; // It may not know the newest version.
                names.push_back(streamName(names.size()));
                origins.push_back(hashOf(newest));
                fleet.begin(router, names.back(), newest);
            }
            const auto found = fleet.findAll(draw(Routers), names);
            for (std::size_t stream = 0; stream < names.size(); ++stream)
                EXPECT_TRUE(!found[stream] || *found[stream] == origins[stream])
                        << seed << " " << step << " " << stream;
        }
    }
}

// An outage of the store, in which nothing registers, must not end the streams of sound routers.
TEST(StreamOrigins, OwnersVouchForTheOnlyVersionWhileTheStoreIsDown)
{
    Fleet fleet(6);
    fleet.add("v1");
    fleet.pass(LongAgo);
    fleet.setStoreDown(true);
    for (std::size_t router = 0; router < fleet.size(); ++router)
        EXPECT_EQ(fleet.find(router, "s"), hashOf("v1"));
}

// A lost reply leaves the question with the owners that haven't answered, and one that answers
// twice counts once.
TEST(StreamOrigins, AnOwnerThatAnswersTwiceCountsOnce)
{
    boost::asio::io_context loop;
    SoftwareHistory history;
    history.added(endpointOf("v1"), SteadyTime(std::chrono::hours(1)));
    StreamOrigins origins(loop, history);
    origins.start("r0", [&](const std::string &to, std::string_view bytes) {
        const auto question = decodeStreamOriginQuestion(bytes);
        if (to != "r1" || !question)
            return;
        const StreamOriginReply reply{question->id, std::nullopt, SoleSoftware{hashOf("v1")}};
        boost::asio::post(loop, [&origins, reply] {
            origins.handleReply(reply);
            origins.handleReply(reply);
        });
    });
    for (const char *name : {"r1", "r2", "r3"})
        origins.addRouter(name);
    std::optional<SoftwareHash> found;
    boost::asio::co_spawn(loop, origins.find("s", Service, SteadyTime(std::chrono::hours(2))),
                          [&](const std::exception_ptr &, std::optional<SoftwareHash> result) {
                              found = result;
                          });
    loop.run();
    EXPECT_EQ(found, std::nullopt); // One of three owners is no majority.
}

TEST(StreamOrigins, AreBounded)
{
    Fleet fleet(1);
    fleet.add("v1");
    boost::asio::io_context loop;
    SoftwareHistory history;
    StreamOrigins origins(loop, history);
    const SteadyTime now{std::chrono::hours(1)};
    for (std::size_t stream = 0; stream < StreamOrigins::MaxOrigins + 100; ++stream)
        origins.record(streamName(stream), Service, 1, now);
    EXPECT_LE(origins.size(), StreamOrigins::MaxOrigins);
    origins.record("last", Service, 1, now + LongAgo);
    EXPECT_EQ(origins.size(), 1U);
}

TEST(StreamOriginMessages, AreReadAsTheyWereWritten)
{
    const auto report =
            decodeStreamOriginReport(encodeStreamOrigin(StreamOriginReport{{{7, 8}, {9, 10}}}));
    ASSERT_TRUE(report && report->origins.size() == 2);
    EXPECT_EQ(report->origins[1].stream, 9U);
    EXPECT_EQ(report->origins[1].software, 10U);
    const auto question =
            decodeStreamOriginQuestion(encodeStreamOrigin(StreamOriginQuestion{1, 2, 3}));
    ASSERT_TRUE(question);
    EXPECT_EQ(question->service, 3U);
    for (const RecentSoftware &recent :
         {RecentSoftware(UnknownSoftware{}), RecentSoftware(SoleSoftware{4}),
          RecentSoftware(MixedSoftware{})}) {
        const auto reply = decodeStreamOriginReply(
                encodeStreamOrigin(StreamOriginReply{5, SoftwareHash(6), recent}));
        ASSERT_TRUE(reply);
        EXPECT_EQ(reply->software, 6U);
        EXPECT_EQ(reply->recent.index(), recent.index());
    }
    EXPECT_FALSE(decodeStreamOriginReply("").has_value());
    EXPECT_FALSE(decodeStreamOriginReport(encodeStreamOrigin(StreamOriginQuestion{1, 2, 3})));
}

// Guards against any sequence of releases, kills and take-ups that lets a stream go on at another
// version than the one that began it.
RC_GTEST_PROP(StreamOriginsProperty, AStreamIsFoundWhereItBeganOrNotAtAll, ())
{
    constexpr std::size_t Routers = 5;
    const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1'000'000));
    Fleet fleet(Routers);
    std::vector<std::string> versions{"v0"};
    fleet.add("v0");
    std::size_t nextVersion = 1;
    struct Stream
    {
        std::string version;
        SteadyTime begunAt;
    };
    std::vector<Stream> streams;
    for (const int step : steps) {
        const auto router = static_cast<std::size_t>(step / 10) % Routers;
        const auto choice = static_cast<std::size_t>(step / 100);
        switch (step % 10) {
        case 0:
            versions.push_back("v" + std::to_string(nextVersion++));
            fleet.add(versions.back());
            break;
        case 1:
            if (versions.size() > 1) {
                fleet.remove(versions.front());
                versions.erase(versions.begin());
            }
            break;
        case 2:
            fleet.start(router);
            break;
        case 3:
            for (std::size_t killed = 0; killed < (choice % 2 == 0 ? Routers : 3U); ++killed)
                fleet.start(killed);
            break;
        case 4:
            fleet.pass(seconds(choice % 50));
            break;
        case 5:
            fleet.reportOpen();
            break;
        default:
            streams.push_back({versions[choice % versions.size()], fleet.now()});
            fleet.begin(router, streamName(streams.size() - 1), streams.back().version);
        }
        for (std::size_t stream = 0; stream < streams.size(); ++stream) {
            // Callers take a stream up soon after it has broken off.
            if (fleet.now() - streams[stream].begunAt >= SoftwareHistory::Retention)
                continue;
            const auto found = fleet.find(router, streamName(stream));
            RC_ASSERT(!found || *found == hashOf(streams[stream].version));
        }
    }
}

} // namespace almondmill::test
