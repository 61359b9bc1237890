#include "support/unreliablestore.h"

#include "almondmill/orders/lease.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Duration{6000};
constexpr milliseconds OrderTimeout{2000};
constexpr milliseconds Step{1};

/// Clock shared by all processes of a test. A call to the store takes `callTime`.
struct TestTime
{
    SteadyTime now{std::chrono::hours(1)};
    milliseconds callTime{0};

    Lease::Clock clock()
    {
        return [this] {
            const SteadyTime current = now;
            now += callTime;
            return current;
        };
    }
};

LeaseOptions optionsOf(const std::string &holder)
{
    LeaseOptions options;
    options.objectName = "leases/test";
    options.holder = holder;
    options.incarnation = 1;
    options.duration = Duration;
    options.orderTimeout = OrderTimeout;
    return options;
}

} // namespace

TEST(Lease, FirstProcessAcquiresIt)
{
    UnreliableStore store;
    TestTime time;
    Lease lease(store, optionsOf("a"));
    lease.maintain(time.clock());
    EXPECT_TRUE(lease.mayOrder(time.now));
    EXPECT_EQ(lease.fencing(), 1U);
}

TEST(Lease, AnotherProcessWaitsForLeaseExpiryAndOrderTimeout)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.maintain(time.clock());
    second.maintain(time.clock());
    time.now += Duration + OrderTimeout - Step;
    second.maintain(time.clock());
    EXPECT_FALSE(second.held(time.now));
    time.now += Step;
    second.maintain(time.clock());
    EXPECT_TRUE(second.mayOrder(time.now));
    EXPECT_EQ(second.fencing(), 2U);
}

TEST(Lease, HolderSuspendedPastItsLeaseMayNotOrder)
{
    UnreliableStore store;
    TestTime time;
    Lease lease(store, optionsOf("a"));
    lease.maintain(time.clock());
    time.now += Duration - OrderTimeout;
    EXPECT_FALSE(lease.mayOrder(time.now));
    time.now += OrderTimeout;
    EXPECT_FALSE(lease.held(time.now));
}

TEST(Lease, ResumedHolderDetectsItsSuccessor)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.maintain(time.clock());
    second.maintain(time.clock());
    time.now += Duration + OrderTimeout;
    second.maintain(time.clock());
    first.maintain(time.clock());
    EXPECT_FALSE(first.held(time.now));
    EXPECT_TRUE(second.held(time.now));
}

TEST(Lease, RenewalWhoseAnswerWasLostIsRecognised)
{
    UnreliableStore store;
    TestTime time;
    Lease lease(store, optionsOf("a"));
    lease.maintain(time.clock());
    store.setFate(UnreliableStore::Fate::LoseAnswer);
    time.now += milliseconds(1000);
    lease.maintain(time.clock());
    store.setFate(UnreliableStore::Fate::Normal);
    lease.maintain(time.clock());
    EXPECT_TRUE(lease.held(time.now));
    lease.maintain(time.clock());
    EXPECT_TRUE(lease.mayOrder(time.now + milliseconds(3000)));
    EXPECT_EQ(lease.fencing(), 1U);
}

TEST(Lease, AcquisitionWhoseAnswerWasLostIsRecognised)
{
    UnreliableStore store;
    TestTime time;
    Lease lease(store, optionsOf("a"));
    store.setFate(UnreliableStore::Fate::LoseAnswer);
    lease.maintain(time.clock());
    EXPECT_FALSE(lease.held(time.now));
    store.setFate(UnreliableStore::Fate::Normal);
    lease.maintain(time.clock());
    EXPECT_TRUE(lease.mayOrder(time.now));
    EXPECT_EQ(lease.fencing(), 1U);
}

TEST(Lease, DurationIsMeasuredFromBeforeASlowCall)
{
    UnreliableStore store;
    TestTime time;
    time.callTime = milliseconds(1500);
    Lease lease(store, optionsOf("a"));
    const SteadyTime start = time.now;
    lease.maintain(time.clock());
    EXPECT_FALSE(lease.held(start + milliseconds(1500) + Duration));
}

TEST(Lease, ReleasedLeaseIsAcquiredWithoutWaiting)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.maintain(time.clock());
    second.maintain(time.clock());
    first.release();
    second.maintain(time.clock());
    EXPECT_TRUE(second.mayOrder(time.now));
    EXPECT_EQ(second.fencing(), 2U);
}

RC_GTEST_PROP(LeaseProperty, AtMostOneProcessMayOrder, ())
{
    UnreliableStore store;
    TestTime time;
    std::vector<std::unique_ptr<Lease>> leases;
    for (const char *holder : {"a", "b", "c"})
        leases.push_back(std::make_unique<Lease>(store, optionsOf(holder)));
    const auto steps = *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 1000));
    std::uint64_t highestFencing = 0;
    for (const int step : steps) {
        time.callTime = milliseconds(step % 7 == 0 ? 900 : step % 3);
        store.setFate(static_cast<UnreliableStore::Fate>(step % 11 < 3 ? step % 11 : 0));
        leases[static_cast<std::size_t>(step) % leases.size()]->maintain(time.clock());
        time.now += milliseconds(step % 5 == 0 ? step * 9 : step);
        std::size_t orderers = 0;
        for (const auto &lease : leases) {
            if (!lease->mayOrder(time.now))
                continue;
            ++orderers;
            RC_ASSERT(lease->fencing() >= highestFencing);
            highestFencing = lease->fencing();
        }
        RC_ASSERT(orderers <= 1U);
    }
}

TEST(Lease, ReleaseRecordsTheTimeOfTheLastOrder)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.setNote("left by a");
    first.maintain(time.clock());
    first.release(milliseconds(700));
    const SteadyTime seen = time.now;
    second.maintain(time.clock());
    EXPECT_TRUE(second.mayOrder(time.now));
    EXPECT_EQ(second.previousOrdersEnd(), seen - milliseconds(700));
}

// Guards against a new holder that orders too soon after the one before it, because it was
// restarted or the answer to its request was lost.
TEST(Lease, AHolderKnowsItsPredecessorsLastOrderAfterARestart)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.maintain(time.clock());
    first.release(milliseconds(700));
    second.maintain(time.clock());
    const auto ordersEnd = second.previousOrdersEnd();
    ASSERT_TRUE(ordersEnd);
    time.now += milliseconds(300);
    Lease restarted(store, optionsOf("b"));
    restarted.maintain(time.clock());
    EXPECT_TRUE(restarted.mayOrder(time.now));
    ASSERT_TRUE(restarted.previousOrdersEnd());
    // The restarted process can't know how old the record is.
    EXPECT_GE(*restarted.previousOrdersEnd(), *ordersEnd);
    EXPECT_LE(*restarted.previousOrdersEnd(), *ordersEnd + milliseconds(300));
    time.now += milliseconds(1000);
    restarted.maintain(time.clock());
    Lease again(store, optionsOf("b"));
    again.maintain(time.clock());
    EXPECT_LE(*again.previousOrdersEnd(), *ordersEnd + milliseconds(300));
}

TEST(Lease, AHolderKnowsItsPredecessorsLastOrderWhenTheAnswerWasLost)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    Lease second(store, optionsOf("b"));
    first.maintain(time.clock());
    first.release(milliseconds(700));
    const SteadyTime ordersEnd = time.now - milliseconds(700);
    store.setFate(UnreliableStore::Fate::LoseAnswer);
    second.maintain(time.clock());
    store.setFate(UnreliableStore::Fate::Normal);
    time.now += milliseconds(100);
    second.maintain(time.clock());
    ASSERT_TRUE(second.previousOrdersEnd());
    EXPECT_GE(*second.previousOrdersEnd(), ordersEnd);
    EXPECT_LE(*second.previousOrdersEnd(), ordersEnd + milliseconds(100));
}

// Guards against a VM that goes on with the lease of a removed one which had the same name.
TEST(Lease, AnotherVmOfTheSameNameWaitsLikeAnyOther)
{
    UnreliableStore store;
    TestTime time;
    LeaseOptions options = optionsOf("a");
    Lease removed(store, options);
    removed.maintain(time.clock());
    ++options.incarnation;
    Lease replacement(store, options);
    replacement.maintain(time.clock());
    EXPECT_FALSE(replacement.held(time.now));
    time.now += Duration + OrderTimeout;
    replacement.maintain(time.clock());
    EXPECT_TRUE(replacement.mayOrder(time.now));
    EXPECT_GT(replacement.fencing(), removed.fencing());
    EXPECT_TRUE(replacement.previousOrdersEnd());
}

TEST(Lease, NoteIsReadableByOtherProcesses)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    first.setNote("left by a");
    first.maintain(time.clock());
    Lease second(store, optionsOf("b"));
    second.observe(time.clock());
    EXPECT_EQ(second.lastSeenNote(), "left by a");
    EXPECT_FALSE(second.mayOrder(time.now));
}

TEST(Lease, OrdersOfAnExpiredHolderEndBeforeItsLease)
{
    UnreliableStore store;
    TestTime time;
    Lease first(store, optionsOf("a"));
    first.maintain(time.clock());
    Lease second(store, optionsOf("b"));
    second.observe(time.clock());
    const SteadyTime seen = time.now;
    time.now += Duration + OrderTimeout;
    second.maintain(time.clock());
    EXPECT_TRUE(second.mayOrder(time.now));
    EXPECT_EQ(second.previousOrdersEnd(), seen + Duration - OrderTimeout);
}

TEST(Lease, RestartedProcessOfTheSameHolderContinuesTheLease)
{
    UnreliableStore store;
    TestTime time;
    Lease killed(store, optionsOf("a"));
    killed.maintain(time.clock());
    Lease restarted(store, optionsOf("a"));
    restarted.maintain(time.clock());
    EXPECT_TRUE(restarted.mayOrder(time.now));
    EXPECT_EQ(restarted.fencing(), killed.fencing());
    EXPECT_EQ(restarted.previousOrdersEnd(), std::nullopt);
}

} // namespace almondmill::test
