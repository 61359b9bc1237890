#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/storestatesync.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/store/asyncstore.h"

#include <gtest/gtest.h>

#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr const char *Entry =
        R"({"service":"s","address":"127.0.0.1:8000","zone":"dc-1","version":"1","slots":4,)"
        R"("state":"ready","cold_remaining_ms":0,"sequence":1,"born":1700000000000,"models":[]})";

/// A store with registrations, in which one call for changes fails. An entry is removed after it.
class RecoveringStore : public AsyncStore
{
public:
    explicit RecoveringStore(boost::asio::io_context &loop)
        : m_loop(loop)
    {}

    std::set<std::string> names{"staying", "leaving"};
    std::uint64_t revision = 1;
    int watches = 0;

    Awaitable<ListResult> list(ObjectKind kind, Freshness, SteadyTime) override
    {
        ObjectList objects;
        objects.revision = revision;
        if (kind == ObjectKind::Registrations) {
            for (const std::string &name : names)
                objects.objects.push_back({name, Entry, 1});
        }
        co_return objects;
    }

    Awaitable<ReadResult> read(ObjectKind, std::string, Freshness, SteadyTime) override
    {
        co_return Absent{};
    }

    Awaitable<EventsResult> events(ObjectKind kind, std::uint64_t from, milliseconds wait,
                                   SteadyTime) override
    {
        if (kind != ObjectKind::Registrations) {
            co_await sleepFor(m_loop, wait);
            co_return ObjectEvents{{}, from};
        }
        ++watches;
        if (watches == 1)
            co_return Unavailable{"down"};
        if (watches == 2) {
            names.erase("leaving");
            revision = 2;
            co_return ObjectEvents{{{{"leaving", "", 2}, true}}, 2};
        }
        co_await sleepFor(m_loop, wait);
        co_return ObjectEvents{{}, revision};
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

private:
    boost::asio::io_context &m_loop;
};

/// The endpoints that a router knows which reads the store only after a gap in the updates.
struct Follower
{
    std::set<std::string> names{"staying", "leaving"};
    std::uint64_t revision = 1;

    void learn(const StoreUpdate::Registrations &update, const RecoveringStore &store)
    {
        // Each entry has a revision of its own, so these count whatever the directory's revision
        // is.
        for (const Registration &entry : update.changed)
            names.insert(entry.id);
        for (const std::string &id : update.gone)
            names.erase(id);
        if (update.to <= revision)
            return;
        if (update.from > revision) {
            names = store.names;
            revision = store.revision;
            return;
        }
        revision = update.to;
    }
};

ForwarderSettings settings()
{
    ForwarderSettings settings;
    settings.name = "router-1";
    settings.dataCentre = "dc-1";
    settings.adapter = "rietwerk";
    return settings;
}

} // namespace

// Guards against an endpoint that only the readers of the store remove, because its entry was
// removed just after an outage, when they still retain entries that are missing.
TEST(StoreStateSync, AnEntryRemovedAfterAnOutageIsRemovedAtTheOtherRoutersToo)
{
    constexpr milliseconds LongerThanStartAndRetention{8000};
    boost::asio::io_context loop;
    ForwardingContext context(loop, settings(), PlatformAdapterRegistry::create("rietwerk"));
    RecoveringStore store(loop);
    Follower follower;
    StoreStateSync reader(context, store, [&](const auto &registrations) {
        if (registrations)
            follower.learn(*registrations, store);
    });
    reader.start();
    loop.run_for(LongerThanStartAndRetention);
    EXPECT_GT(store.watches, 2);
    EXPECT_EQ(context.directory.find("leaving"), nullptr);
    EXPECT_NE(context.directory.find("staying"), nullptr);
    EXPECT_EQ(follower.names, std::set<std::string>{"staying"});
}

} // namespace almondmill::test
