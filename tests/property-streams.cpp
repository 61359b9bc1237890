#include "support/relayharness.h"
#include "support/waituntil.h"

#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptobserver.h"
#include "almondmill/endpoint/attemptrequest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>

namespace almondmill::test {

namespace {

constexpr std::size_t Endpoints = 3;

/// Fault of an endpoint in one attempt.
struct DrawnFault
{
    unsigned kind = 0;       ///< See FakeAttempt::run.
    unsigned after = 0;      ///< Number of events before the fault.
    unsigned chunkBytes = 1; ///< Bytes passed to the observer per call.
};

/// Faults of the attempts of one request, in order. Attempts after the last fault succeed.
struct Script
{
    std::vector<DrawnFault> faults;
    unsigned tokens = 1;
    std::size_t next = 0;
};

std::string eventOf(unsigned id, unsigned tokens)
{
    if (id > tokens)
        return "id: " + std::to_string(id) + "\ndata: [DONE]\n\n";
    return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id * 7919) + "\n\n";
}

std::string expectedStream(unsigned tokens)
{
    std::string text;
    for (unsigned id = 1; id <= tokens + 1; ++id)
        text += eventOf(id, tokens);
    return text;
}

/// Simulates an endpoint that truncates, stalls, duplicates, reorders or skips events, refuses the
/// connection, fails, or answers another attempt.
class FakeAttempt : public AttemptRunner
{
public:
    explicit FakeAttempt(Script &script)
        : m_script(script)
    {}

    AttemptResult run(const AttemptRequest &request, AttemptObserver &observer) override
    {
        const DrawnFault fault = m_script.next < m_script.faults.size()
                                         ? m_script.faults[m_script.next++]
                                         : DrawnFault{NoFault, 0, 4096};
        if (fault.kind == Refused)
            return AttemptNotSent{"refused"};
        AttemptHead head;
        head.status = fault.kind == Failing ? 500 : 200;
        head.contentType = "text/event-stream";
        head.attemptId = fault.kind == Crossed ? "another" : request.attemptId;
        if (!observer.onHead(head))
            return AttemptCancelled{};
        const std::string text = textOf(firstEvent(request), fault);
        for (std::size_t at = 0; at < text.size(); at += fault.chunkBytes) {
            if (!observer.onBytes(std::string_view(text).substr(at, fault.chunkBytes)))
                return AttemptCancelled{};
        }
        if (fault.kind == Stalled)
            return AttemptCancelled{};
        return fault.kind == NoFault ? AttemptResult(AttemptCompleted{})
                                     : AttemptResult(AttemptBroken{"cut"});
    }

    void cancel() override {}

    enum Kind { NoFault, Cut, Stalled, Duplicated, Reordered, Skipped, Crossed, Refused, Failing };

private:
    static unsigned firstEvent(const AttemptRequest &request)
    {
        for (const HttpHeader &header : request.headers) {
            if (header.name == "Last-Event-ID")
                return static_cast<unsigned>(std::stoul(header.value)) + 1;
        }
        return 1;
    }

    std::string textOf(unsigned first, const DrawnFault &fault) const
    {
        std::string text;
        for (unsigned id = first; id <= m_script.tokens + 1; ++id) {
            const bool now = id == first + fault.after;
            const std::string event = eventOf(id, m_script.tokens);
            if (now && (fault.kind == Cut || fault.kind == Stalled))
                return text + event.substr(0, event.size() / 2);
            if (now && fault.kind == Skipped)
                continue;
            if (now && fault.kind == Reordered)
                text += eventOf(id + 1, m_script.tokens);
            text += event;
            if (now && fault.kind == Duplicated)
                text += event;
        }
        return text;
    }

    Script &m_script;
};

std::vector<DrawnFault> drawFaults()
{
    std::vector<DrawnFault> faults(*rc::gen::inRange(0U, 8U));
    for (DrawnFault &fault : faults)
        fault = {*rc::gen::inRange(0U, 9U), *rc::gen::inRange(0U, 12U), *rc::gen::inRange(1U, 60U)};
    return faults;
}

std::string readThroughRelay(Script script, bool deterministic)
{
    RelayHarness harness(Endpoints, [&script] { return std::make_unique<FakeAttempt>(script); });
    return harness.readToEnd(deterministic);
}

} // namespace

RC_GTEST_PROP(StreamProperty, DirectWritingGivesTheSameBytesAsReadingChunks, ())
{
    const Script script{drawFaults(), *rc::gen::inRange(1U, 12U), 0};
    const bool deterministic = *rc::gen::arbitrary<bool>();
    Script again = script;
    RelayHarness harness(Endpoints, [&again] { return std::make_unique<FakeAttempt>(again); });
    RC_ASSERT(harness.writeToEnd(deterministic) == readThroughRelay(script, deterministic));
}

RC_GTEST_PROP(StreamProperty, CallerGetsTheExpectedStreamOrAPrefixAndAnExplicitError, ())
{
    const Script script{drawFaults(), *rc::gen::inRange(1U, 12U), 0};
    const std::string whole = expectedStream(script.tokens);
    const std::string got = readThroughRelay(script, *rc::gen::arbitrary<bool>());
    if (got == whole)
        return;
    const auto error = got.find("event: error\n");
    if (error == std::string::npos) {
        RC_ASSERT(got.starts_with("{\"error\""));
        return;
    }
    RC_ASSERT(whole.starts_with(got.substr(0, error)));
    RC_ASSERT(got.ends_with("\n\n"));
}

RC_GTEST_PROP(StreamProperty, ASingleFaultIsHiddenFromTheCaller, ())
{
    Script script{drawFaults(), *rc::gen::inRange(1U, 12U), 0};
    script.faults.resize(1);
    RC_ASSERT(readThroughRelay(script, true) == expectedStream(script.tokens));
}

TEST(SlowCaller, BlocksReadingFromTheEndpointAtTheCapacity)
{
    Script script;
    script.tokens = 20000;
    RelayHarness harness(1, [&script] { return std::make_unique<FakeAttempt>(script); });
    const auto relay = harness.makeRelay(true);
    relay->start();
    relay->waitForStart([] { return false; });
    const std::string event = eventOf(1, script.tokens);
    std::size_t taken = 0;
    while (taken < 1000) {
        const ChannelItem item = relay->nextBytes(SteadyTime::max());
        taken += std::get<ChannelBytes>(item).bytes.size();
        EXPECT_LE(relay->queuedBytes(), StreamRelay::ChannelCapacityBytes);
    }
    EXPECT_TRUE(waitUntil([&] {
        return relay->queuedBytes() + 2 * event.size() > StreamRelay::ChannelCapacityBytes;
    }));
    EXPECT_LE(relay->queuedBytes(), StreamRelay::ChannelCapacityBytes);
}

} // namespace almondmill::test
