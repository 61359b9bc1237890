// Lists of the store that may be stale: they are used only when they contain what a peer's update
// showed, and are followed by a current list otherwise.

#include "almondmill/directory/storeoutage.h"
#include "almondmill/directory/storewatcher.h"
#include "almondmill/http/asyncsleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// A store whose lists have the revisions that the test sets. Records the kinds of reads.
class ListedStore : public AsyncStore
{
public:
    std::vector<Freshness> lists;
    std::uint64_t staleRevision = 5;
    std::uint64_t currentRevision = 10;
    bool isDown = false;
    bool isHistoryGone = false;
    std::size_t watches = 0;

    Awaitable<ListResult> list(ObjectKind, Freshness freshness, SteadyTime) override
    {
        lists.push_back(freshness);
        if (isDown)
            co_return Unavailable{"down"};
        ObjectList objects;
        objects.revision = freshness == Freshness::Current ? currentRevision : staleRevision;
        co_return objects;
    }

    Awaitable<ReadResult> read(ObjectKind, std::string, Freshness, SteadyTime) override
    {
        co_return Absent{};
    }

    Awaitable<EventsResult> events(ObjectKind, std::uint64_t, milliseconds, SteadyTime) override
    {
        ++watches;
        if (isHistoryGone)
            co_return HistoryGone{};
        co_return Unavailable{"not used"};
    }

    Awaitable<UpdateResult> create(ObjectKind, std::string, std::string, SteadyTime) override
    {
        co_return NotApplied{"not used"};
    }

    Awaitable<UpdateResult> update(ObjectKind, std::string, std::string, std::uint64_t,
                                   SteadyTime) override
    {
        co_return NotApplied{"not used"};
    }
};

/// A store that takes longer for a list than the first timeout.
class SlowStore : public ListedStore
{
public:
    explicit SlowStore(boost::asio::io_context &loop)
        : m_loop(loop)
    {}

    Awaitable<ListResult> list(ObjectKind kind, Freshness freshness, SteadyTime deadline) override
    {
        constexpr milliseconds AnswerTime{1200};
        const auto left = deadline - std::chrono::steady_clock::now();
        co_await sleepFor(m_loop, std::min(std::chrono::ceil<milliseconds>(left), AnswerTime));
        if (left < AnswerTime)
            co_return Unavailable{"timeout"};
        co_return co_await ListedStore::list(kind, freshness, deadline);
    }

private:
    boost::asio::io_context &m_loop;
};

/// A store that answers calls for changes after a while, and counts them.
class AnsweringStore : public ListedStore
{
public:
    static constexpr milliseconds AnswerTime{20};

    explicit AnsweringStore(boost::asio::io_context &loop)
        : m_loop(loop)
    {}

    Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t revision, milliseconds wait,
                                   SteadyTime deadline) override
    {
        co_await sleepFor(m_loop, AnswerTime);
        if (isDown || isHistoryGone)
            co_return co_await ListedStore::events(kind, revision, wait, deadline);
        ++watches;
        ObjectEvents events;
        events.revision = currentRevision;
        co_return events;
    }

private:
    boost::asio::io_context &m_loop;
};

/// A watcher of a router that is no reader, which has read its first list.
class Confirmations : public testing::Test
{
protected:
    Confirmations()
        : store(loop)
        , watcher(loop, store, {},
                  {[](const ObjectList &, SteadyTime) {},
                   [this](const ObjectEvents &events) { seen = events.revision; }})
    {
        boost::asio::co_spawn(loop, watcher.run([] { return false; }), boost::asio::detached);
        loop.run_for(milliseconds(50));
    }

    void confirm()
    {
        boost::asio::co_spawn(loop, watcher.confirm(),
                              [this](const std::exception_ptr &, bool isConfirmed) {
                                  results.push_back(isConfirmed);
                              });
    }

    boost::asio::io_context loop;
    AnsweringStore store;
    StoreWatcher watcher;
    std::uint64_t seen = 0;
    std::vector<bool> results;
};

class StoreWatcherTest : public testing::Test
{
protected:
    StoreWatcherTest()
        : watcher(loop, store, options(),
                  {[this](const ObjectList &list, SteadyTime) { listed.push_back(list.revision); },
                   nullptr})
    {
        boost::asio::co_spawn(loop, watcher.run([] { return false; }), boost::asio::detached);
        loop.run_for(milliseconds(50));
    }

    static StoreWatcher::Options options()
    {
        StoreWatcher::Options options;
        options.firstList = Freshness::MayBeStale;
        return options;
    }

    boost::asio::io_context loop;
    ListedStore store;
    std::vector<std::uint64_t> listed; ///< Revisions of the lists that were passed on.
    StoreWatcher watcher;
};

} // namespace

// Questions that come in a burst must not become as many calls to the store: the first one has a
// read, and all that come meanwhile share the next one.
TEST_F(Confirmations, ThatComeTogetherShareAReadOfTheStore)
{
    for (int call = 0; call < 10; ++call)
        confirm();
    loop.run_for(milliseconds(100));
    EXPECT_EQ(results, std::vector<bool>(10, true));
    EXPECT_LE(store.watches, 2U);
    EXPECT_EQ(seen, store.currentRevision);
}

// Guards against a confirmation by a read that was sent before the question came.
TEST_F(Confirmations, ThatComeDuringAReadWaitForTheNextOne)
{
    confirm();
    loop.run_for(AnsweringStore::AnswerTime / 2);
    confirm();
    store.currentRevision = 11;
    loop.run_for(milliseconds(100));
    EXPECT_EQ(results, std::vector<bool>(2, true));
    EXPECT_EQ(store.watches, 2U);
    EXPECT_EQ(seen, 11U);
}

TEST_F(Confirmations, FailWhileTheStoreDoesNotAnswer)
{
    store.isDown = true;
    confirm();
    loop.run_for(milliseconds(100));
    EXPECT_EQ(results, std::vector<bool>(1, false));
}

TEST_F(Confirmations, ListTheObjectsWhenTheHistoryIsGone)
{
    store.isHistoryGone = true;
    confirm();
    loop.run_for(milliseconds(100));
    EXPECT_EQ(results, std::vector<bool>(1, true));
    EXPECT_EQ(store.lists.back(), Freshness::Current);
}

TEST_F(StoreWatcherTest, TheFirstListMayBeStale)
{
    EXPECT_EQ(store.lists, std::vector<Freshness>{Freshness::MayBeStale});
    EXPECT_EQ(listed, std::vector<std::uint64_t>{5});
}

TEST_F(StoreWatcherTest, AStaleListThatLacksAnUpdateIsFollowedByACurrentOne)
{
    watcher.refreshUpTo(9);
    loop.run_for(milliseconds(50));
    EXPECT_EQ(store.lists, (std::vector<Freshness>{Freshness::MayBeStale, Freshness::MayBeStale,
                                                   Freshness::Current}));
    EXPECT_EQ(listed, (std::vector<std::uint64_t>{5, 10}));
}

TEST_F(StoreWatcherTest, AStaleListThatContainsTheUpdateIsUsed)
{
    store.staleRevision = 9;
    watcher.refreshUpTo(9);
    loop.run_for(milliseconds(50));
    EXPECT_EQ(store.lists.size(), 2U);
    EXPECT_EQ(listed, (std::vector<std::uint64_t>{5, 9}));
}

// Guards against a watcher that lists and watches in turn without a pause when the store answers
// each call for changes with 410, which leaves no calls for the other routers.
TEST(StoreWatcher, WaitsBetweenCallsForHistoriesThatAreGone)
{
    constexpr milliseconds Duration{2000};
    // As after failures: 100, 200 and 400 ms, then 800 ms, and in each case half of it at least.
    constexpr std::size_t MaxWatches = 4 + Duration / milliseconds(400);
    boost::asio::io_context loop;
    ListedStore store;
    store.isHistoryGone = true;
    StoreWatcher watcher(loop, store, {}, {[](const ObjectList &, SteadyTime) {}, nullptr});
    boost::asio::co_spawn(loop, watcher.run([] { return true; }), boost::asio::detached);
    loop.run_for(Duration);
    EXPECT_GE(store.watches, 2U);
    EXPECT_LE(store.watches, MaxWatches);
    EXPECT_LE(store.lists.size(), MaxWatches + 1);
}

// While the store is down, all routers of a fleet call it, each for all kinds of objects.
TEST_F(StoreWatcherTest, OneWatcherOfARouterProbesAnOutage)
{
    constexpr std::size_t Watchers = 3;
    constexpr milliseconds OutageDuration{3000};
    // One watcher retries after up to 100, 200 and 400 ms, then every 800 ms, and in each case
    // after at least half of the time.
    constexpr std::size_t MaxRetries = 3 + OutageDuration / milliseconds(400);
    const auto outage = std::make_shared<StoreOutage>();
    std::vector<std::unique_ptr<StoreWatcher>> watchers;
    std::size_t answeredLists = 0;
    StoreWatcher::Handlers handlers;
    handlers.listed = [&](const ObjectList &, SteadyTime) { ++answeredLists; };
    store.isDown = true;
    store.lists.clear();
    for (std::size_t i = 0; i < Watchers; ++i) {
        watchers.push_back(
                std::make_unique<StoreWatcher>(loop, store, options(), handlers, outage));
        boost::asio::co_spawn(loop, watchers.back()->run([] { return false; }),
                              boost::asio::detached);
    }
    loop.run_for(OutageDuration);
    EXPECT_LE(store.lists.size(), Watchers + MaxRetries);
    EXPECT_EQ(answeredLists, 0U);
    store.isDown = false;
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (answeredLists < Watchers && std::chrono::steady_clock::now() < end)
        loop.run_one_for(milliseconds(50));
    EXPECT_EQ(answeredLists, Watchers);
}

// Guards against a router that never serves after a restart of the whole fleet, because the store
// takes longer for each list than the timeout, and is asked for it anew each time.
TEST_F(StoreWatcherTest, AFirstListThatIsSlowIsWaitedForLonger)
{
    SlowStore slow(loop);
    std::size_t answeredLists = 0;
    StoreWatcher::Handlers handlers;
    handlers.listed = [&](const ObjectList &, SteadyTime) { ++answeredLists; };
    StoreWatcher late(loop, slow, options(), handlers);
    boost::asio::co_spawn(loop, late.run([] { return false; }), boost::asio::detached);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (answeredLists == 0 && std::chrono::steady_clock::now() < end)
        loop.run_one_for(milliseconds(50));
    EXPECT_EQ(answeredLists, 1U);
}

TEST_F(StoreWatcherTest, AListOnRequestIsCurrent)
{
    watcher.refresh();
    loop.run_for(milliseconds(50));
    EXPECT_EQ(store.lists.back(), Freshness::Current);
    EXPECT_EQ(listed, (std::vector<std::uint64_t>{5, 10}));
}

} // namespace almondmill::test
