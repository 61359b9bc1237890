#include "almondmill/admission/admissiongate.h"
#include "almondmill/admission/requestqueue.h"
#include "almondmill/admission/retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace almondmill {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};
constexpr SteadyTime Never = Start + std::chrono::hours(1);

QueuedRequest queued(std::uint64_t id, std::uint64_t account, Priority priority = Priority::High,
                     std::uint32_t share = 1)
{
    return {id, account, share, priority, Never};
}

std::vector<std::uint64_t> popAll(RequestQueue &queue)
{
    std::vector<std::uint64_t> expired;
    std::vector<std::uint64_t> ids;
    while (const auto id = queue.pop(Start, expired))
        ids.push_back(*id);
    return ids;
}

} // namespace

TEST(RetryBudget, AllowsAShareOfTheRequests)
{
    RetryBudget budget({0.1, 0, 2}, Start);
    EXPECT_TRUE(budget.take(Start));
    EXPECT_TRUE(budget.take(Start));
    EXPECT_FALSE(budget.take(Start));
    for (int request = 0; request < 10; ++request)
        budget.requestStarted(Start);
    EXPECT_GE(budget.available(), 0.99);
    EXPECT_LE(budget.available(), 1.01);
}

TEST(RetryBudget, RefillsSlowlyWithoutRequests)
{
    RetryBudget budget({0.1, 1, 2}, Start);
    while (budget.take(Start)) {
    }
    EXPECT_FALSE(budget.take(Start + milliseconds(900)));
    EXPECT_TRUE(budget.take(Start + milliseconds(1100)));
}

TEST(RequestQueue, HighPriorityGoesFirst)
{
    RequestQueue queue(10);
    queue.push(queued(1, 7, Priority::Low));
    queue.push(queued(2, 7, Priority::High));
    EXPECT_EQ(popAll(queue), (std::vector<std::uint64_t>{2, 1}));
}

TEST(RequestQueue, LowPriorityIsNotStarved)
{
    RequestQueue queue(100);
    queue.push(queued(1000, 7, Priority::Low));
    for (std::uint64_t id = 0; id < 50; ++id)
        queue.push(queued(id, 7));
    const auto order = popAll(queue);
    const auto position = std::find(order.begin(), order.end(), 1000U) - order.begin();
    EXPECT_EQ(position, static_cast<std::ptrdiff_t>(RequestQueue::LowPriorityInterval) - 1);
}

TEST(RequestQueue, AccountsShareByWeight)
{
    RequestQueue queue(100);
    for (std::uint64_t id = 0; id < 40; ++id)
        queue.push(queued(id, 1, Priority::High, 3));
    for (std::uint64_t id = 40; id < 80; ++id)
        queue.push(queued(id, 2, Priority::High, 1));
    const auto order = popAll(queue);
    const auto ofFirst = std::count_if(order.begin(), order.begin() + 20,
                                       [](std::uint64_t id) { return id < 40; });
    EXPECT_EQ(ofFirst, 15);
}

TEST(RequestQueue, AnAccountThatExceedsItsShareLosesItsOwnRequests)
{
    RequestQueue queue(10);
    for (std::uint64_t id = 0; id < 30; ++id)
        queue.push(queued(id, 1));
    EXPECT_NE(queue.push(queued(100, 2)), std::optional<std::uint64_t>(100));
    const auto order = popAll(queue);
    EXPECT_LE(std::find(order.begin(), order.end(), 100U) - order.begin(), 1);
}

TEST(RequestQueue, LateRequestsAreNotSent)
{
    RequestQueue queue(10);
    QueuedRequest expired = queued(1, 1);
    expired.deadline = Start;
    queue.push(expired);
    queue.push(queued(2, 1));
    std::vector<std::uint64_t> dropped;
    EXPECT_EQ(queue.pop(Start, dropped), std::optional<std::uint64_t>(2));
    EXPECT_EQ(dropped, std::vector<std::uint64_t>{1});
}

RC_GTEST_PROP(RequestQueueProperty, EveryRequestIsTakenOutOnce, ())
{
    RequestQueue queue(8);
    std::map<std::uint64_t, int> left;
    const auto steps = *rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 100U));
    std::uint64_t next = 0;
    std::vector<std::uint64_t> expired;
    for (const unsigned step : steps) {
        if (step % 3 == 0) {
            if (const auto id = queue.pop(Start, expired))
                ++left[*id];
            continue;
        }
        auto request = queued(next++, step % 5, step % 2 == 0 ? Priority::Low : Priority::High,
                              1 + step % 4);
        if (step % 7 == 0)
            request.deadline = Start;
        if (const auto dropped = queue.push(request))
            ++left[*dropped];
        RC_ASSERT(queue.size() <= 16U);
    }
    while (const auto id = queue.pop(Start, expired))
        ++left[*id];
    for (const std::uint64_t id : expired)
        ++left[id];
    RC_ASSERT(left.size() == next);
    for (const auto &[id, times] : left)
        RC_ASSERT(times == 1);
}

TEST(AdmissionGate, AdmitsWhileThereAreFreeSlots)
{
    AdmissionGate gate(10, [] { return Start; });
    const auto result = gate.acquire(queued(0, 1), [] { return std::size_t{1}; });
    EXPECT_TRUE(std::holds_alternative<AdmissionSlot>(result));
}

TEST(AdmissionGate, CountsAdmittedRequestsThatAreNotYetSent)
{
    SteadyTime now = Start;
    AdmissionGate gate(10, [&] { return now += seconds(1); });
    const auto freeSlots = [] { return std::size_t{1}; };
    auto first = gate.acquire(queued(0, 1), freeSlots);
    ASSERT_TRUE(std::holds_alternative<AdmissionSlot>(first));
    QueuedRequest request = queued(0, 1);
    request.deadline = now + seconds(1);
    EXPECT_TRUE(std::holds_alternative<QueueTimeout>(gate.acquire(request, freeSlots)));
    std::get<AdmissionSlot>(first).release();
    EXPECT_TRUE(std::holds_alternative<AdmissionSlot>(gate.acquire(queued(0, 1), freeSlots)));
}

TEST(AdmissionGate, DropsRequestsBeyondTheQueueCapacity)
{
    AdmissionGate gate(0, [] { return Start; });
    const auto result = gate.acquire(queued(0, 1), [] { return std::size_t{0}; });
    EXPECT_TRUE(std::holds_alternative<QueueFull>(result));
}

TEST(AdmissionGate, AdmitsAWaitingRequestWhenASlotBecomesFree)
{
    AdmissionGate gate(10, [] { return Start; });
    std::atomic<std::size_t> slots{0};
    std::thread releaser([&] {
        while (gate.waiting() == 0)
            std::this_thread::yield();
        slots = 1;
    });
    const auto result = gate.acquire(queued(0, 1), [&] { return slots.load(); });
    releaser.join();
    EXPECT_TRUE(std::holds_alternative<AdmissionSlot>(result));
}

} // namespace almondmill
