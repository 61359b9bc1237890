// The bound of the memory held for callers and endpoints, and what is evicted first.

#include "almondmill/http/heldmemory.h"
#include "almondmill/http/memoryreservation.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace almondmill::test {

namespace {

using Kind = MemoryReservation::Kind;

constexpr std::size_t Limit = 1000;
constexpr std::size_t Large = HeldMemory::SmallBytes * 2;
constexpr std::size_t Small = HeldMemory::SmallBytes;

struct Ledger
{
    explicit Ledger(const MemoryLimits &limits)
        : memory(std::make_shared<HeldMemory>(limits))
    {}

    MemoryReservation &add(const std::string &origin, Kind kind)
    {
        open.push_back(std::make_unique<MemoryReservation>(
                memory, kind, MemoryReservation::Origin{origin, "r1"},
                [this, origin] { evicted.push_back(origin); }));
        return *open.back();
    }

    MemoryReservation &answer(const std::string &endpoint)
    {
        return add(endpoint, Kind::UnfinishedAnswer);
    }

    std::shared_ptr<HeldMemory> memory;
    std::vector<std::string> evicted;
    std::vector<std::unique_ptr<MemoryReservation>> open;
};

} // namespace

// Guards against one endpoint that sends without end on many connections, each within the bound of
// one answer.
TEST(HeldMemory, TheEndpointThatTakesMostLosesItsLargestAnswer)
{
    Ledger ledger({MemoryLimits::Unlimited, Limit});
    ledger.answer("sound").resize(300);
    ledger.answer("endless").resize(200);
    MemoryReservation &largest = ledger.answer("endless");
    largest.resize(250);
    ledger.answer("endless").resize(240);
    EXPECT_TRUE(ledger.evicted.empty());
    ledger.answer("other").resize(100);
    EXPECT_EQ(ledger.evicted, std::vector<std::string>{"endless"});
    EXPECT_TRUE(largest.isEvicted());
    EXPECT_EQ(ledger.memory->usedBytes(), 840U);
}

TEST(HeldMemory, AReservationMayEvictItself)
{
    Ledger ledger({MemoryLimits::Unlimited, Limit});
    MemoryReservation &answer = ledger.answer("endless");
    answer.resize(Limit + 1);
    EXPECT_TRUE(answer.isEvicted());
    answer.resize(Limit + 2);
    EXPECT_EQ(ledger.evicted.size(), 1U);
    EXPECT_EQ(ledger.memory->usedBytes(), 0U);
}

TEST(HeldMemory, WhatIsDoneTakesNoMemory)
{
    Ledger ledger({MemoryLimits::Unlimited, Limit});
    ledger.answer("a").resize(900);
    ledger.open.clear();
    ledger.answer("b").resize(900);
    EXPECT_TRUE(ledger.evicted.empty());
    EXPECT_EQ(ledger.memory->usedBytes(), 900U);
}

// Guards against callers with unfinished bodies who displace complete requests of others.
TEST(HeldMemory, UnfinishedRequestsAreEvictedBeforeCompleteOnes)
{
    Ledger ledger({3 * Large, MemoryLimits::Unlimited});
    ledger.add("complete", Kind::Request).resize(2 * Large);
    ledger.add("unfinished", Kind::UnfinishedRequest).resize(Large);
    ledger.add("another", Kind::UnfinishedRequest).resize(Small);
    EXPECT_EQ(ledger.evicted, std::vector<std::string>{"unfinished"});
    ledger.add("late", Kind::Request).resize(Large);
    EXPECT_EQ(ledger.evicted, (std::vector<std::string>{"unfinished", "complete"}));
}

// Guards against the eviction of ordinary small requests while callers with large ones hold less
// in all, and against a limit that complete small requests exceed without end.
TEST(HeldMemory, CompleteSmallRequestsStayAndUnfinishedOnesGoLast)
{
    Ledger ledger({4 * Small, MemoryLimits::Unlimited});
    MemoryReservation &first = ledger.add("ordinary", Kind::UnfinishedRequest);
    first.resize(Small);
    first.hold(Kind::Request);
    for (int number = 0; number < 3; ++number)
        ledger.add("ordinary", Kind::Request).resize(Small);
    EXPECT_TRUE(ledger.evicted.empty());
    ledger.add("late", Kind::UnfinishedRequest).resize(Small);
    EXPECT_EQ(ledger.evicted, std::vector<std::string>{"late"});
}

} // namespace almondmill::test
