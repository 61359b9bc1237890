// Guards against two holders that order under one fencing token, or under a lower one, after the
// platform's store has returned from an older copy.

#include "standins/rietwerk/metadataserver.h"
#include "support/forwardingprocess.h"
#include "support/loopback.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/orders/lease.h"
#include "almondmill/store/asyncstore.h"
#include "almondmill/store/blockingstore.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace almondmill::test {

namespace {

using standin::rietwerk::MetadataServer;
using standin::rietwerk::MetadataStore;
using std::chrono::milliseconds;

constexpr milliseconds Duration{2000};
constexpr milliseconds OrderTimeout{500};

/// Interval at which each router maintains the lease.
constexpr milliseconds Step{100};

/// Limits of the router's process.
constexpr std::uint32_t MemoryMb = 96;
constexpr std::uint32_t Descriptors = 1024;

/// Changes that the store loses by its return.
constexpr int LostChanges = 500;

/// A router that has started reads changes within this time.
constexpr milliseconds TimeToRead{6000};

/// The system's time to recover.
constexpr milliseconds RecoveryTime{12000};

/// Era of the store before its first return.
constexpr std::uint64_t FirstEra = 7;

} // namespace

/// Routers that request a lease from the store's stand-in, over HTTP. The store's calls take real
/// time; the leases are measured with a clock that the test sets.
class StoreReturn : public testing::Test
{
protected:
    /// One process of a router.
    class Router
    {
    public:
        Router(StoreReturn &test, const std::string &name)
            : m_client(test.m_adapter->makeStore(test.m_loop.get_executor(),
                                                 parseSocketAddress(test.m_server.address())))
            , m_store(test.m_loop, *m_client, ObjectKind::Leases, Freshness::Current)
            , m_lease(m_store, optionsOf(name))
        {}

        Lease &lease() { return m_lease; }

    private:
        static LeaseOptions optionsOf(const std::string &name)
        {
            LeaseOptions options;
            options.objectName = "weights-rollout";
            options.holder = name;
            options.incarnation = 1;
            options.duration = Duration;
            options.orderTimeout = OrderTimeout;
            return options;
        }

        std::unique_ptr<AsyncStore> m_client;
        BlockingStore m_store;
        Lease m_lease;
    };

    /// An order that a router was allowed to send.
    struct Order
    {
        std::string router;
        std::uint64_t fencing = 0;
        SteadyTime sentAt;
    };

    StoreReturn()
        : m_server(m_loop, nextLoopbackAddress() + ":8200")
        , m_adapter(PlatformAdapterRegistry::create("rietwerk"))
        , m_work(m_loop.get_executor())
        , m_thread([this] { m_loop.run(); })
    {
        onLoop([this] { m_server.store().setEra(FirstEra); });
    }

    ~StoreReturn() override
    {
        m_routers.clear();
        m_loop.stop();
        m_thread.join();
    }

    /// Starts the router's process, which forgets what an earlier one knew.
    void start(const std::string &name) { m_routers[name] = std::make_unique<Router>(*this, name); }

    void kill(const std::string &name) { m_routers.erase(name); }

    /// From now on the router doesn't reach the store; it may order as long as its lease lasts.
    void cutOff(const std::string &name) { m_cutOff.insert(name); }

    /// Lets all routers maintain the lease, and order where they may, as long as `duration`.
    void run(milliseconds duration)
    {
        for (const SteadyTime end = m_now + duration; m_now < end; m_now += Step) {
            for (const auto &[name, router] : m_routers)
                maintain(name, router->lease());
        }
    }

    MetadataStore::Copy copyStore()
    {
        MetadataStore::Copy copy;
        onLoop([&] { copy = m_server.store().copy(); });
        return copy;
    }

    void returnStoreTo(const MetadataStore::Copy &copy)
    {
        onLoop([&] { m_server.store().returnTo(copy, std::chrono::steady_clock::now()); });
    }

    /// Expects that no two routers order under one token, that tokens never fall, and that two
    /// holders are a lease apart.
    void expectOneHolderAtATime() const
    {
        for (std::size_t i = 1; i < m_orders.size(); ++i) {
            const Order &before = m_orders[i - 1];
            const Order &order = m_orders[i];
            EXPECT_GE(order.fencing, before.fencing) << order.router << " after " << before.router;
            if (order.router == before.router)
                continue;
            EXPECT_GT(order.fencing, before.fencing) << order.router << " after " << before.router;
            EXPECT_GE(order.sentAt - before.sentAt, OrderTimeout)
                    << order.router << " after " << before.router;
        }
    }

    const std::vector<Order> &orders() const { return m_orders; }

    /// The router that ordered last.
    std::string lastHolder() const { return m_orders.empty() ? "" : m_orders.back().router; }

    SteadyTime now() const { return m_now; }

private:
    void maintain(const std::string &name, Lease &lease)
    {
        if (!m_cutOff.contains(name))
            lease.maintain([this] { return m_now; });
        if (lease.mayOrder(m_now))
            m_orders.push_back({name, lease.fencing(), m_now});
    }

    void onLoop(const std::function<void()> &task)
    {
        std::packaged_task<void()> packaged(task);
        auto done = packaged.get_future();
        boost::asio::post(m_loop, [&packaged] { packaged(); });
        done.get();
    }

    boost::asio::io_context m_loop;
    MetadataServer m_server;
    std::unique_ptr<PlatformAdapter> m_adapter;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::thread m_thread;
    std::map<std::string, std::unique_ptr<Router>> m_routers;
    std::set<std::string> m_cutOff;
    std::vector<Order> m_orders;
    SteadyTime m_now{std::chrono::hours(1)};
};

// Guards against a second holder beside the first one, with its token, when the lease's record is
// gone.
TEST_F(StoreReturn, AHolderWhoseRecordIsGoneIsFollowedWithAHigherToken)
{
    const MetadataStore::Copy copy = copyStore();
    start("a");
    run(Duration * 3);
    ASSERT_EQ(lastHolder(), "a");
    returnStoreTo(copy);
    cutOff("a");
    start("b");
    run(Duration * 3);
    EXPECT_EQ(lastHolder(), "b");
    expectOneHolderAtATime();
}

// Guards against an earlier holder that goes on with its old token when the record of its successor
// is gone.
TEST_F(StoreReturn, AnEarlierHolderDoesNotGoOnWithItsToken)
{
    start("a");
    run(Duration * 3);
    ASSERT_EQ(lastHolder(), "a");
    const MetadataStore::Copy copy = copyStore();
    kill("a");
    start("b");
    run(Duration * 3);
    ASSERT_EQ(lastHolder(), "b");
    returnStoreTo(copy);
    cutOff("b");
    start("a");
    run(Duration * 3);
    EXPECT_EQ(lastHolder(), "a");
    expectOneHolderAtATime();
}

// Guards against tokens that are given out again when no process remembers them.
TEST_F(StoreReturn, RoutersThatAllRestartGiveOutNoTokenAgain)
{
    start("a");
    run(Duration * 3);
    ASSERT_EQ(lastHolder(), "a");
    const MetadataStore::Copy copy = copyStore();
    for (const char *name : {"b", "c", "b"}) {
        kill(lastHolder());
        start(name);
        run(Duration * 3);
        ASSERT_EQ(lastHolder(), name);
    }
    kill(lastHolder());
    returnStoreTo(copy);
    for (const char *name : {"a", "b", "c"})
        start(name);
    run(Duration * 4);
    EXPECT_GT(orders().back().sentAt, now() - Duration) << "nobody holds the lease";
    expectOneHolderAtATime();
}

// Guards against routers that ignore what endpoints register after the return, until the store's
// revisions have passed those from before it.
TEST(StoreReturnProcess, ARouterLearnsWhatIsRegisteredAfterTheReturn)
{
    ForwardingProcess router({MemoryMb, Descriptors});
    ASSERT_TRUE(router.waitUntilServing());
    router.copyStore();
    for (int change = 0; change < LostChanges; ++change)
        router.put({{"other-writer", {{"change", change}}}});
    std::this_thread::sleep_for(TimeToRead);
    router.returnStoreToCopy();
    router.replaceEndpoint();
    const auto returnedAt = std::chrono::steady_clock::now();
    EXPECT_TRUE(router.waitUntilServing());
    EXPECT_LT(std::chrono::steady_clock::now() - returnedAt, RecoveryTime);
}

} // namespace almondmill::test
