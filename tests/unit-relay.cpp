#include "almondmill/endpoint/deadline.h"
#include "almondmill/endpoint/deadlineheap.h"
#include "almondmill/request/eventchannel.h"
#include "almondmill/request/eventsplitter.h"
#include "almondmill/request/relayplan.h"
#include "almondmill/request/streamprogress.h"

#include "support/waituntil.h"

#include <gtest/gtest.h>

#include <thread>

namespace almondmill {

namespace {

const SteadyTime Start{};
constexpr std::chrono::seconds Long{100};

std::shared_ptr<Deadline> deadlineAt(std::chrono::milliseconds at)
{
    return std::make_shared<Deadline>(Start + at, [] {});
}

std::size_t expiredAt(DeadlineHeap &heap, std::chrono::milliseconds at)
{
    return heap.takeExpired(Start + at).size();
}

StreamEvent numbered(unsigned id)
{
    return parseStreamEvent("id: " + std::to_string(id) + "\ndata: x\n\n");
}

StreamProgress progressAfter(unsigned events)
{
    StreamProgress progress;
    for (unsigned id = 1; id <= events; ++id)
        progress.recordEvent(numbered(id));
    return progress;
}

AttemptReport endedBy(AttemptEnd end, bool progressed)
{
    return {end, true, true, progressed};
}

} // namespace

TEST(DeadlineHeap, ReturnsDeadlinesOnceTheyExpire)
{
    using namespace std::chrono_literals;
    DeadlineHeap heap;
    heap.add(deadlineAt(20ms));
    heap.add(deadlineAt(10ms));
    EXPECT_EQ(heap.next(), Start + 10ms);
    EXPECT_EQ(expiredAt(heap, 9ms), 0U);
    EXPECT_EQ(expiredAt(heap, 10ms), 1U);
    EXPECT_EQ(expiredAt(heap, 25ms), 1U);
}

TEST(DeadlineHeap, RespectsADeadlineThatIsPostponed)
{
    using namespace std::chrono_literals;
    DeadlineHeap heap;
    const auto deadline = deadlineAt(10ms);
    heap.add(deadline);
    deadline->moveTo(Start + 100ms);
    EXPECT_EQ(expiredAt(heap, 99ms), 0U);
    EXPECT_EQ(expiredAt(heap, 100ms), 1U);
}

TEST(DeadlineHeap, RepeatsUntilTheDeadlineIsEnded)
{
    using namespace std::chrono_literals;
    DeadlineHeap heap;
    const auto deadline = deadlineAt(10ms);
    heap.add(deadline);
    EXPECT_EQ(expiredAt(heap, 10ms), 1U);
    EXPECT_EQ(expiredAt(heap, 10ms + DeadlineHeap::RepeatInterval), 1U);
    deadline->end();
    EXPECT_EQ(expiredAt(heap, 1000ms), 0U);
    EXPECT_TRUE(heap.empty());
}

TEST(DeadlineHeap, ExpiresImmediatelyOnRequestEvenIfTheDeadlineIsMoved)
{
    using namespace std::chrono_literals;
    DeadlineHeap heap;
    const auto deadline = deadlineAt(10000ms);
    heap.add(deadline);
    deadline->expireNow();
    heap.add(deadline);
    deadline->moveTo(Start + 20000ms);
    EXPECT_EQ(expiredAt(heap, 1ms), 1U);
}

TEST(EventSplitter, SplitsAtEmptyLinesOfEitherKindForEveryChunkSize)
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: [DONE]\n\n";
    for (std::size_t chunk = 1; chunk <= text.size(); ++chunk) {
        EventSplitter splitter;
        std::vector<StreamEvent> events;
        for (std::size_t at = 0; at < text.size(); at += chunk) {
            for (StreamEvent &event : splitter.feed(std::string_view(text).substr(at, chunk)))
                events.push_back(std::move(event));
        }
        ASSERT_EQ(events.size(), 3U);
        EXPECT_EQ(events[1].id, 2U);
        EXPECT_FALSE(events[1].endOfStream);
        EXPECT_TRUE(events[2].endOfStream);
    }
}

TEST(StreamProgress, IgnoresTheEndMarkerInsideAToken)
{
    EXPECT_FALSE(parseStreamEvent("data: {\"text\":\"data: [DONE]\"}\n\n").endOfStream);
}

TEST(RelayPlan, ResumesAtTheSameEndpointWhileEventsArrive)
{
    RelayPlan plan(false, Start + Long);
    const StreamProgress progress = progressAfter(3);
    for (int i = 0; i < 20; ++i) {
        const RelayStep step = plan.next(endedBy(AttemptEnd::Broken, true), progress, Start);
        EXPECT_TRUE(std::holds_alternative<ResumeStream>(step));
    }
}

TEST(RelayPlan, StopsResumingWhenNoEventsArrive)
{
    RelayPlan plan(true, Start + Long);
    const StreamProgress progress = progressAfter(3);
    plan.next(endedBy(AttemptEnd::Broken, true), progress, Start);
    for (unsigned i = 0; i < RelayPlan::MaxResumesWithoutProgress; ++i) {
        const RelayStep step = plan.next(endedBy(AttemptEnd::TimedOut, false), progress, Start);
        EXPECT_TRUE(std::holds_alternative<ResumeStream>(step));
    }
    const RelayStep last = plan.next(endedBy(AttemptEnd::TimedOut, false), progress, Start);
    EXPECT_TRUE(std::holds_alternative<SendToNewEndpoint>(last));
}

TEST(RelayPlan, ReportsNotExecutedOnlyWhenNothingWasSent)
{
    RelayPlan plan(true, Start + Long);
    const StreamProgress none;
    plan.next({AttemptEnd::NotSent, false, false, false}, none, Start);
    EXPECT_EQ(plan.noEndpointAvailable().refusal.executed, Executed::No);
    plan.next({AttemptEnd::Broken, false, false, false}, none, Start);
    plan.next({AttemptEnd::NotSent, false, false, false}, none, Start);
    EXPECT_EQ(plan.noEndpointAvailable().refusal.executed, Executed::Unknown);
}

TEST(RelayPlan, FailsWhenTheRequestTimesOut)
{
    RelayPlan plan(true, Start + Long);
    const RelayStep step =
            plan.next(endedBy(AttemptEnd::TimedOut, true), progressAfter(3), Start + Long);
    ASSERT_TRUE(std::holds_alternative<FailRelay>(step));
    EXPECT_EQ(std::get<FailRelay>(step).refusal.code, "request_timeout");
}

TEST(EventChannel, QueuesNoMoreThanItsCapacity)
{
    constexpr std::size_t Capacity = 1000;
    constexpr std::size_t ChunkBytes = 300;
    constexpr int ChunkCount = 100;
    EventChannel channel(Capacity);
    std::atomic<int> pushed{0};
    std::thread sender([&] {
        while (pushed < ChunkCount && channel.push(std::string(ChunkBytes, 'x'), Start))
            ++pushed;
        channel.finish();
    });
    EXPECT_TRUE(test::waitUntil([&] { return pushed == Capacity / ChunkBytes; }));
    std::size_t taken = 0;
    while (true) {
        EXPECT_LE(channel.queuedBytes(), Capacity);
        const ChannelItem item = channel.pop(SteadyTime::max());
        if (std::holds_alternative<ChannelEnd>(item))
            break;
        taken += std::get<ChannelBytes>(item).bytes.size();
    }
    sender.join();
    EXPECT_EQ(taken, ChunkCount * ChunkBytes);
}

TEST(EventChannel, EndsBothSidesWhenAChunkCannotBeWritten)
{
    EventChannel channel(1000);
    std::thread sender([&] {
        while (channel.push("x", Start)) {
        }
    });
    int left = 5;
    const auto writer = [&left](const ChannelBytes & /*chunk*/) { return --left > 0; };
    EXPECT_FALSE(channel.writeAll(writer, [] { return false; }));
    sender.join();
}

TEST(EventChannel, EndsWhenTheCallerIsGoneAndNoChunkArrives)
{
    EventChannel channel(1000);
    const auto writer = [](const ChannelBytes & /*chunk*/) { return true; };
    EXPECT_FALSE(channel.writeAll(writer, [] { return true; }));
    EXPECT_FALSE(channel.push("x", Start));
}

} // namespace almondmill
