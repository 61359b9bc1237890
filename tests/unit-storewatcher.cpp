// Lists of the store that may be stale: they are used only when they contain what a peer's update
// showed, and are followed by a current list otherwise.

#include "almondmill/directory/storeoutage.h"
#include "almondmill/directory/storewatcher.h"

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

class StoreWatcherTest : public testing::Test
{
protected:
    StoreWatcherTest()
        : watcher(loop, store, options(),
                  {[this](const ObjectList &list, Freshness) { listed.push_back(list.revision); },
                   nullptr, nullptr})
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

// While the store is down, each of 295 routers calls it with three watchers: some 14,000 calls in 8
// s.
TEST_F(StoreWatcherTest, OneWatcherOfARouterProbesAnOutage)
{
    const auto outage = std::make_shared<StoreOutage>();
    std::vector<std::unique_ptr<StoreWatcher>> watchers;
    std::size_t lists = 0;
    StoreWatcher::Handlers handlers;
    handlers.listed = [&](const ObjectList &, Freshness) { ++lists; };
    store.isDown = true;
    store.lists.clear();
    for (int i = 0; i < 3; ++i) {
        watchers.push_back(
                std::make_unique<StoreWatcher>(loop, store, options(), handlers, outage));
        boost::asio::co_spawn(loop, watchers.back()->run([] { return false; }),
                              boost::asio::detached);
    }
    loop.run_for(milliseconds(3000));
    // Three first calls, then those of one watcher: after 0.1 s, 0.2 s, 0.4 s, then every 0.8 s,
    // and after at least half of these times.
    EXPECT_LE(store.lists.size(), 3U + 3U + 7U);
    EXPECT_EQ(lists, 0U);
    store.isDown = false;
    loop.run_for(milliseconds(1200));
    EXPECT_EQ(lists, 3U);
}

TEST_F(StoreWatcherTest, AListOnRequestIsCurrent)
{
    watcher.refresh();
    loop.run_for(milliseconds(50));
    EXPECT_EQ(store.lists.back(), Freshness::Current);
    EXPECT_EQ(listed, (std::vector<std::uint64_t>{5, 10}));
}

} // namespace almondmill::test
