#include "support/claimharness.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/claims/claimsweeper.h"
#include "almondmill/claims/leasedclaimsweeper.h"
#include "almondmill/config/service.h"
#include "almondmill/kernel/error.h"
#include "almondmill/request/refusederror.h"
#include "almondmill/request/serviceretrysafety.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

constexpr std::chrono::milliseconds Timeout{1000};
const WallTime Start = WallTime(std::chrono::hours(24 * 365 * 50));

Claim doneClaim(std::size_t bodyBytes)
{
    Claim claim;
    claim.id = "id";
    claim.fingerprint = "fingerprint";
    claim.holder = "router";
    claim.incarnation = 7;
    claim.created = Start;
    claim.state = ClaimState::Done;
    claim.answer = StoredAnswer{201,
                                "application/json",
                                {{"Location", "/booking/slots/1"}},
                                "service-0",
                                std::string(bodyBytes, '\xff'),
                                true};
    return claim;
}

/// Advances a holder without faults until the call has run `runs` times or the holder has finished.
void advanceUntil(ClaimHarness &harness, std::size_t holder, unsigned runs)
{
    while (harness.runs() < runs && !harness.steps().finished(holder))
        harness.advance(holder);
}

void advanceToEnd(ClaimHarness &harness, std::size_t holder)
{
    while (!harness.steps().finished(holder))
        harness.advance(holder);
}

StepFault step(StoreFault fault)
{
    return {fault, SendFault::None};
}

StepFault step(SendFault fault)
{
    return {StoreFault::None, fault};
}

} // namespace

TEST(ClaimCodec, RoundTripsThroughEncoding)
{
    const Claim claim = decodeClaim(encodeClaim(doneClaim(1000)));
    EXPECT_EQ(claim.id, "id");
    EXPECT_EQ(claim.incarnation, 7U);
    EXPECT_EQ(claim.created, Start);
    EXPECT_EQ(claim.state, ClaimState::Done);
    EXPECT_EQ(claim.answer->body, std::string(1000, '\xff'));
    EXPECT_EQ(claim.answer->headers.at(0).value, "/booking/slots/1");
}

TEST(ClaimCodec, KeysOfTwoAccountsGiveDifferentNames)
{
    EXPECT_NE(claimName("a", "bc"), claimName("ab", "c"));
    EXPECT_EQ(claimName("a", "bc").find("bc"), std::string::npos);
    EXPECT_NE(callFingerprint("POST", "/a", "b"), callFingerprint("POST", "/ab", ""));
}

TEST(ClaimCodec, LeavesOutABodyOverTheStoresLimit)
{
    const std::string text = encodeClaim(doneClaim(800000));
    EXPECT_LE(text.size(), MaxClaimBytes);
    const Claim claim = decodeClaim(text);
    EXPECT_FALSE(claim.answer->bodyKept);
    EXPECT_TRUE(decodeClaim(encodeClaim(doneClaim(740000))).answer->bodyKept);
}

TEST(ClaimCodec, RejectsInvalidText)
{
    EXPECT_THROW(decodeClaim("{}"), Error);
    EXPECT_THROW(decodeClaim("not json"), Error);
}

TEST(ServiceRetrySafety, RecognisesAListedCallInEverySpellingOfItsPath)
{
    const Service service{"booking", "/booking/", {"POST /booking/slots"}};
    for (const char *path :
         {"/booking/slots", "/booking//slots", "/booking/./slots/7", "/booking/x/../slots"})
        EXPECT_EQ(serviceRetrySafety(service, "POST", path), ServiceRetrySafety::AtMostOnce)
                << path;
    EXPECT_EQ(serviceRetrySafety(service, "POST", "/booking/notes"),
              ServiceRetrySafety::NonIdempotent);
    EXPECT_EQ(serviceRetrySafety(service, "GET", "/booking/slots"), ServiceRetrySafety::Repeatable);
}

TEST(AtMostOnceExecutor, CostsTwoWritesAndNoRead)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.finish();
    EXPECT_EQ(harness.runs(), 1U);
    EXPECT_EQ(harness.store().writes(), 2U);
    EXPECT_EQ(harness.store().reads(), 0U);
}

TEST(AtMostOnceExecutor, AHolderPausedBeforeSendingIsNotReplaced)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0); // The claim is created; the holder is about to send.
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.result(1).code, "in_progress");
    EXPECT_EQ(harness.result(1).ran, "unknown");
    harness.finish();
    EXPECT_EQ(harness.runs(), 1U);
}

TEST(AtMostOnceExecutor, AnExpiringLeaseRunsTheCallTwiceWhenItsHolderIsPaused)
{
    ClaimHarness harness(ClaimHarness::expiringLease);
    harness.add();
    harness.advance(0);
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.runs(), 1U);
    harness.finish();
    EXPECT_EQ(harness.runs(), 2U) << "the expiring lease was expected to run the call twice";
}

TEST(AtMostOnceExecutor, AHolderKilledBetweenClaimAndSendLeavesTheCallNotRun)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0);
    harness.kill(0);
    harness.add();
    advanceToEnd(harness, 1);
    harness.finish();
    EXPECT_EQ(harness.runs(), 0U);
    EXPECT_EQ(harness.result(1).ran, "unknown");
}

TEST(AtMostOnceExecutor, ACallIsNotRunAgainAfterItsHolderIsKilled)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    advanceUntil(harness, 0, 1);
    harness.kill(0);
    harness.add();
    advanceToEnd(harness, 1);
    harness.finish();
    EXPECT_EQ(harness.runs(), 1U);
    EXPECT_EQ(harness.result(1).ran, "unknown");
}

TEST(AtMostOnceExecutor, ALostAnswerToTheClaimIsReadBack)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0, step(StoreFault::AnswerLost));
    harness.finish();
    EXPECT_EQ(harness.result(0).kind, CallResult::Kind::Answered);
    EXPECT_EQ(harness.runs(), 1U);
}

TEST(AtMostOnceExecutor, AClaimThatMayExistIsReleasedWhenTheStoreRecovers)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0, step(StoreFault::AnswerLost));
    harness.advance(0, step(StoreFault::Refused)); // Reading back fails.
    EXPECT_EQ(harness.result(0).code, "claims_unavailable");
    EXPECT_EQ(harness.result(0).ran, "no");
    harness.finish();
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.result(1).kind, CallResult::Kind::Answered);
    EXPECT_EQ(harness.runs(), 1U);
}

TEST(AtMostOnceExecutor, ADelayedClaimIsBlockedByItsRelease)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0, step(StoreFault::Late));
    harness.advance(0, step(StoreFault::Refused));
    EXPECT_EQ(harness.result(0).ran, "no");
    harness.finish(); // Settles before the delayed claim takes effect.
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.result(1).kind, CallResult::Kind::Answered);
}

TEST(AtMostOnceExecutor, ADelayedTakeoverIsBlockedByItsRelease)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0);
    harness.advance(0, step(SendFault::NeverConnected));
    advanceToEnd(harness, 0);
    harness.add();
    harness.advance(1); // Finds the released claim.
    harness.advance(1, step(StoreFault::Late));
    harness.advance(1, step(StoreFault::Refused));
    EXPECT_EQ(harness.result(1).ran, "no");
    harness.finish(); // Settles before the delayed takeover takes effect.
    harness.add();
    advanceToEnd(harness, 2);
    EXPECT_EQ(harness.result(2).kind, CallResult::Kind::Answered);
}

TEST(AtMostOnceExecutor, ACallThatWasNeverSentFreesItsKey)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    harness.advance(0);
    harness.advance(0, step(SendFault::NeverConnected));
    advanceToEnd(harness, 0);
    EXPECT_EQ(harness.result(0).code, "not_sent");
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.result(1).kind, CallResult::Kind::Answered);
}

TEST(AtMostOnceExecutor, AnOutcomeThatCannotBeWrittenIsAnsweredAndWrittenLater)
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    harness.add();
    advanceUntil(harness, 0, 1);
    harness.advance(0);
    harness.advance(0, step(StoreFault::Refused));
    EXPECT_EQ(harness.result(0).kind, CallResult::Kind::Answered);
    harness.finish();
    harness.add();
    advanceToEnd(harness, 1);
    EXPECT_EQ(harness.result(1).kind, CallResult::Kind::Replayed);
    EXPECT_EQ(harness.runs(), 1U);
}

TEST(AtMostOnceExecutor, AHolderThatResumesAfterItsDeadlineSendsNothing)
{
    HookedStore store;
    Metrics metrics;
    ClaimStore claims(store, Timeout, std::chrono::seconds(60));
    ClaimSettler settler(claims, metrics);
    SteadyTime now = SteadyTime{} + std::chrono::hours(1);
    AtMostOnceExecutor atMostOnce(claims, settler, metrics, "router", 1, [&] { return now; });
    const AtMostOnceCall call{"account", "key", "fingerprint", now + std::chrono::seconds(10)};
    now += std::chrono::seconds(11);
    unsigned sent = 0;
    try {
        atMostOnce.run(call, Start, [&] {
            ++sent;
            return StoredAnswer{};
        });
        FAIL() << "no refusal";
    } catch (const RefusedError &error) {
        EXPECT_EQ(error.refusal().executed, Executed::No);
    }
    EXPECT_EQ(sent, 0U);
}

TEST(AtMostOnceExecutor, AnAnswerOverTheStoresLimitIsReportedAsRun)
{
    HookedStore store;
    Metrics metrics;
    ClaimStore claims(store, Timeout, std::chrono::seconds(60));
    ClaimSettler settler(claims, metrics);
    AtMostOnceExecutor atMostOnce(claims, settler, metrics, "router", 1);
    const AtMostOnceCall call{"account", "key", "fingerprint", SteadyTime::max()};
    const auto send = [] {
        StoredAnswer answer;
        answer.status = 200;
        answer.body = std::string(2 * MaxClaimBytes, 'x');
        return answer;
    };
    EXPECT_EQ(atMostOnce.run(call, Start, send).answer.body.size(), 2 * MaxClaimBytes);
    try {
        atMostOnce.run(call, Start, send);
        FAIL() << "no refusal";
    } catch (const RefusedError &error) {
        EXPECT_EQ(error.refusal().code, "answer_not_kept");
        EXPECT_EQ(error.refusal().executed, Executed::Yes);
    }
}

TEST(ClaimSweeper, RemovesOnlyClaimsPastTheirRetention)
{
    HookedStore store;
    Claim claim = doneClaim(10);
    store.createIfAbsent("claims/0a1old", encodeClaim(claim), Timeout);
    claim.created = Start + std::chrono::hours(2);
    store.createIfAbsent("claims/0a1young", encodeClaim(claim), Timeout);
    store.createIfAbsent("claims/0a2other", encodeClaim(doneClaim(10)), Timeout);
    ClaimSweeper sweeper(store, Timeout);
    const WallTime now = Start + ClaimSweeper::KeyRetention + ClaimSweeper::ClockSkewMargin
                         + std::chrono::seconds(1);
    const SweepStep step = sweeper.sweep(0x0a1, now);
    EXPECT_TRUE(step.complete);
    EXPECT_EQ(step.removed, 1U);
    EXPECT_EQ(step.calls, 2U);
    EXPECT_TRUE(std::holds_alternative<Absent>(store.read("claims/0a1old", Timeout)));
    EXPECT_TRUE(std::holds_alternative<StoredObject>(store.read("claims/0a1young", Timeout)));
}

TEST(ClaimSweeper, LimitsTheRemovalsPerStep)
{
    HookedStore store;
    for (std::size_t i = 0; i <= ClaimSweeper::MaxRemovalsPerStep; ++i)
        store.createIfAbsent("claims/fff" + std::to_string(i), encodeClaim(doneClaim(1)), Timeout);
    const WallTime now = Start + std::chrono::hours(30);
    const SweepStep step = ClaimSweeper(store, Timeout).sweep(0xfff, now);
    EXPECT_EQ(step.calls, 1 + ClaimSweeper::MaxRemovalsPerStep);
    EXPECT_FALSE(step.complete);
}

TEST(LeasedClaimSweeper, OneRouterAtATimeSweepsAndAnotherTakesOver)
{
    HookedStore store;
    SteadyTime now = SteadyTime{} + std::chrono::hours(1);
    const Lease::Clock clock = [&] { return now; };
    LeaseOptions options;
    options.objectName = "leases/claims-sweep";
    options.duration = std::chrono::seconds(60);
    options.holder = "router-1";
    LeasedClaimSweeper one(store, options, 0);
    options.holder = "router-2";
    LeasedClaimSweeper other(store, options, 0);
    const WallTime wall = Start + std::chrono::hours(30);
    store.createIfAbsent("claims/0001", encodeClaim(doneClaim(1)), Timeout);
    store.createIfAbsent("claims/0011", encodeClaim(doneClaim(1)), Timeout);

    const unsigned before = store.reads() + store.writes();
    const auto first = one.step(clock, wall);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->removed, 1U);
    EXPECT_LE(store.reads() + store.writes() - before, 2U + first->calls);
    EXPECT_FALSE(other.step(clock, wall));

    // The holder is paused until its lease has expired. The other router takes over, and the paused
    // one no longer sweeps.
    now += std::chrono::seconds(70);
    ASSERT_TRUE(other.step(clock, wall));
    EXPECT_FALSE(one.step(clock, wall));
    EXPECT_EQ(other.step(clock, wall)->removed, 1U);
}

} // namespace almondmill::test
