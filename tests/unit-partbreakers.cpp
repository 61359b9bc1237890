// Guards the circuit breakers of prompt parts: what opens a part, what closes it, and that routers
// which exchange their evidence come to the same result.

#include "almondmill/forward/partbreakers.h"
#include "almondmill/metrics/metrics.h"
#include "almondmill/peers/partevidencemessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr PartHash First = 1;
constexpr PartHash Crashing = 2;
constexpr PartHash Session = 3;

const SteadyTime Start{seconds(1000)};

constexpr auto ToAllRouters = PartBreakers::Audience::AllRouters;
constexpr auto ToThisRouter = PartBreakers::Audience::ThisRouter;

/// The breakers of one router, with the metrics that they count in.
struct Router
{
    explicit Router(const std::string &name = "router-1")
        : breakers(name, metrics)
    {}

    Metrics metrics;
    PartBreakers breakers;
};

/// Records crashes of engines 1 to `count`, half a second apart. Returns the time of the last.
SteadyTime crash(PartBreakers &breakers, const PartBreakers::Parts &parts, std::uint64_t count,
                 SteadyTime from = Start)
{
    SteadyTime at = from;
    for (std::uint64_t engine = 1; engine <= count; ++engine) {
        at = from + engine * milliseconds(500);
        breakers.recordCrash(engine, parts, at);
    }
    return at;
}

} // namespace

TEST(PartBreakers, APartThatWasAtThreeCrashesIsOpen)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {First, Crashing}, 2);
    EXPECT_FALSE(router.breakers.findOpen({Crashing}, last + seconds(2)));
    EXPECT_FALSE(router.breakers.mayRetry({First, Crashing}));
    router.breakers.recordCrash(3, {Session, Crashing}, last + milliseconds(500));
    const auto open = router.breakers.findOpen({First, Crashing}, last + seconds(2));
    ASSERT_TRUE(open);
    EXPECT_EQ(open->part, Crashing);
    EXPECT_EQ(open->crashes, 3U);
    EXPECT_GT(open->retryAfter, seconds(10));
    EXPECT_FALSE(router.breakers.findOpen({First, Session}, last + seconds(2)));
}

TEST(PartBreakers, AnAnswerThatStartedAfterTheCrashesClosesThePart)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {First, Crashing}, 4);
    const SteadyTime later = last + seconds(2);
    router.breakers.recordAnswer({First, Session}, Start);
    EXPECT_TRUE(router.breakers.findOpen({First}, later));
    router.breakers.recordAnswer({First, Session}, last + milliseconds(1));
    EXPECT_FALSE(router.breakers.findOpen({First, Session}, later));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, later));
    EXPECT_TRUE(router.breakers.mayRetry({First, Session}));
}

// Guards against sound requests that other routers refuse for long after a test was answered, and
// against their evidence opening the part again at the router that tested it.
TEST(PartBreakers, AnAnswerLongAfterTheCrashesClosesThePartAtAllRouters)
{
    Router tester("router-1");
    Router other("router-2");
    const SteadyTime last = crash(tester.breakers, {Crashing}, 6);
    other.breakers.merge(tester.breakers.takeUnsent(75, last), ToAllRouters, last);
    const SteadyTime tested = last + seconds(165);
    tester.breakers.recordAnswer({Crashing}, tested);
    tester.breakers.refresh(tested + milliseconds(250));
    other.breakers.merge(tester.breakers.takeUnsent(75, tested + milliseconds(250)), ToAllRouters,
                         tested + milliseconds(260));
    tester.breakers.merge(other.breakers.takeRepeats(16), ToThisRouter, tested + milliseconds(500));
    EXPECT_TRUE(tester.breakers.openParts(tested + milliseconds(600)).empty());
    EXPECT_TRUE(other.breakers.openParts(tested + milliseconds(600)).empty());
}

// Guards against the same when the message with the answer is lost: late evidence of another router
// is still known to be answered.
TEST(PartBreakers, AnsweredCrashesAreKnownAsLongAsOthersMayRepeatThem)
{
    Router tester("router-1");
    Router other("router-2");
    const SteadyTime last = crash(tester.breakers, {Crashing}, 6);
    other.breakers.merge(tester.breakers.takeUnsent(75, last), ToAllRouters, last);
    const SteadyTime tested = last + seconds(165);
    tester.breakers.recordAnswer({Crashing}, tested);
    EXPECT_FALSE(tester.breakers.takeUnsent(75, tested).empty());
    tester.breakers.refresh(tested + seconds(10));
    tester.breakers.merge(other.breakers.takeRepeats(16), ToThisRouter, tested + seconds(10));
    EXPECT_TRUE(tester.breakers.openParts(tested + seconds(11)).empty());
    EXPECT_TRUE(tester.breakers.hasUnsent(tested + seconds(10)));
}

TEST(PartBreakers, EnginesOfOneRackThatEndTogetherAreOneCrash)
{
    Router router;
    for (std::uint64_t engine = 1; engine <= 6; ++engine)
        router.breakers.recordCrash(engine, {First}, Start + engine * milliseconds(2));
    EXPECT_EQ(router.breakers.crashesOf({First}), 1U);
    EXPECT_FALSE(router.breakers.findOpen({First}, Start + seconds(5)));
}

TEST(PartBreakers, SeveralRequestsAtOneCrashCountOnce)
{
    Router router;
    for (int request = 0; request < 5; ++request)
        router.breakers.recordCrash(7, {First}, Start + request * milliseconds(200));
    EXPECT_EQ(router.breakers.crashesOf({First}), 1U);
}

TEST(PartBreakers, OneRouterTestsAHalfOpenPartWithOneRequest)
{
    std::deque<Router> routers;
    for (std::size_t index = 0; index < 14; ++index)
        routers.emplace_back("router-" + std::to_string(index));
    SteadyTime last;
    for (std::size_t index = 0; index < 14; ++index) {
        for (std::size_t other = 0; other < 14; ++other) {
            if (other != index)
                routers[index].breakers.addRouter("router-" + std::to_string(other));
        }
        last = crash(routers[index].breakers, {Crashing}, 3);
    }
    const auto admitted = [&](SteadyTime now) {
        int count = 0;
        for (Router &router : routers) {
            PartBreakers::Parts tested;
            count += router.breakers.admit({Crashing}, now, tested) ? 0 : 1;
        }
        return count;
    };
    EXPECT_EQ(admitted(last + milliseconds(19'900)), 0);
    EXPECT_EQ(admitted(last + milliseconds(20'100)), 1);
    EXPECT_EQ(admitted(last + milliseconds(20'200)), 0);
    for (Router &router : routers)
        router.breakers.recordCrash(4, {Crashing}, last + seconds(21));
    EXPECT_EQ(admitted(last + seconds(60)), 0);
    EXPECT_EQ(admitted(last + milliseconds(61'100)), 1);
}

// Guards against an engine crash for each router when requests with a part return after a pause.
TEST(PartBreakers, FewRoutersTestAPartAtOnceHoweverLongNoRequestCame)
{
    constexpr std::size_t Routers = 100;
    std::deque<Router> routers;
    for (std::size_t index = 0; index < Routers; ++index)
        routers.emplace_back("router-" + std::to_string(index));
    SteadyTime last;
    for (std::size_t index = 0; index < Routers; ++index) {
        for (std::size_t other = 0; other < Routers; ++other) {
            if (other != index)
                routers[index].breakers.addRouter("router-" + std::to_string(other));
        }
        last = crash(routers[index].breakers, {Crashing}, 3);
    }
    std::set<std::size_t> testers;
    for (milliseconds after{20'100}; after < seconds(110); after += milliseconds(5000)) {
        std::size_t atOnce = 0;
        for (std::size_t index = 0; index < Routers; ++index) {
            if (routers[index].breakers.findOpen({Crashing}, last + after))
                continue;
            ++atOnce;
            testers.insert(index);
        }
        EXPECT_GE(atOnce, 1U);
        EXPECT_LE(atOnce, 2U);
    }
    EXPECT_GT(testers.size(), 10U); // One that has left delays the test only for its turn.
}

// Guards against sound requests being refused that share a part only with crashing ones.
TEST(PartBreakers, ACrashThatAnOpenPartExplainsDoesNotCountAgainstOthers)
{
    Router router;
    crash(router.breakers, {Session, Crashing}, 2);
    router.breakers.recordCrash(3, {Crashing}, Start + seconds(2));
    router.breakers.recordCrash(4, {Session, Crashing}, Start + seconds(3));
    const SteadyTime later = Start + seconds(5);
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, later));
    EXPECT_FALSE(router.breakers.findOpen({Session}, later));
    EXPECT_TRUE(router.breakers.mayRetry({Session}));
}

// Guards against a second crashing part hiding behind the first one that was there at its crashes.
TEST(PartBreakers, TwoCrashesWithoutTheFirstPartOpenASecondOne)
{
    constexpr PartHash Second = 4;
    Router router;
    const SteadyTime last = crash(router.breakers, {Crashing, Second}, 3);
    router.breakers.recordCrash(4, {Crashing}, last + milliseconds(100));
    router.breakers.recordCrash(5, {Crashing}, last + milliseconds(200));
    EXPECT_TRUE(router.breakers.mayRetry({Second}));
    router.breakers.recordCrash(6, {Second}, last + milliseconds(300));
    EXPECT_FALSE(router.breakers.mayRetry({Second}));
    EXPECT_FALSE(router.breakers.findOpen({Second}, last + seconds(2)));
    router.breakers.recordCrash(7, {Second}, last + milliseconds(400));
    EXPECT_TRUE(router.breakers.findOpen({Second}, last + seconds(2)));
}

// Guards against a wrongly suspected part hiding the crashing one after it was answered.
TEST(PartBreakers, AnAnsweredPartNoLongerExplainsCrashes)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {First, Crashing}, 3);
    router.breakers.recordCrash(4, {First}, last + seconds(1));
    EXPECT_FALSE(router.breakers.findOpen({Crashing}, last + seconds(2)));
    router.breakers.recordAnswer({First, Session}, last + milliseconds(1100));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, last + seconds(2)));
    EXPECT_FALSE(router.breakers.findOpen({First}, last + seconds(2)));
}

// Guards against a part that many requests share, and that no answer has cleared of its latest
// crashes yet, hiding the crashing part.
TEST(PartBreakers, APartThatWasAnsweredBeforeExplainsNoCrashes)
{
    Router router;
    router.breakers.recordCrash(20, {First}, Start);
    router.breakers.recordAnswer({First, Session}, Start + milliseconds(1));
    const SteadyTime last = crash(router.breakers, {First, Crashing}, 3);
    router.breakers.recordCrash(21, {First}, last + milliseconds(100));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, last + seconds(2)));
}

// Guards against sound requests being refused for long that share a part which was at the same
// three crashes as the crashing one.
TEST(PartBreakers, PartsWithTheSameCrashesAreToldApartByAnEarlyTest)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {Session, Crashing}, 3);
    const SteadyTime later = last + milliseconds(2100);
    EXPECT_TRUE(router.breakers.findOpen({Session}, last + milliseconds(1900)));
    PartBreakers::Parts tested;
    EXPECT_TRUE(
            router.breakers.admit({Session, Crashing}, later, tested)); // It would tell nothing.
    EXPECT_FALSE(router.breakers.admit({First, Session}, later, tested));
    router.breakers.recordAnswer({First, Session}, later);
    EXPECT_FALSE(router.breakers.findOpen({Session}, later));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, last + milliseconds(19'900)));
}

// Guards against parts that all requests hold together staying open for good, because no request
// tells them apart.
TEST(PartBreakers, PartsThatAlwaysComeTogetherAreTestedAfterTheirHold)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {Session, Crashing}, 3);
    EXPECT_TRUE(router.breakers.findOpen({Session, Crashing}, last + milliseconds(19'900)));
    EXPECT_FALSE(router.breakers.findOpen({Session, Crashing}, last + milliseconds(20'100)));
}

// Guards against more than one early test that ends an engine.
TEST(PartBreakers, AnEarlyTestThatCrashesAnEngineClearsThePartBesideIt)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {Session, Crashing}, 3);
    const SteadyTime later = last + milliseconds(2100);
    PartBreakers::Parts tested;
    PartBreakers::Parts testedByOther;
    EXPECT_FALSE(router.breakers.admit({First, Crashing}, later, tested));
    EXPECT_TRUE(router.breakers.admit({First, Crashing}, later, testedByOther));
    router.breakers.recordCrash(4, {First, Crashing}, later);
    EXPECT_FALSE(router.breakers.findOpen({Session}, later));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, later + milliseconds(39'900)));
}

// Guards against a part that was at many crashes being refused for hours after it became harmless.
TEST(PartBreakers, APartWithManyCrashesIsTestedWithinTenMinutes)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {Crashing}, 12);
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, last + std::chrono::minutes(9)));
    EXPECT_FALSE(router.breakers.findOpen({Crashing}, last + std::chrono::minutes(10)));
}

// Guards against a part with many crashes keeping all other suspects out of the repeated evidence,
// and against a router that knows only repeats testing a part earlier than the others.
TEST(PartBreakers, EverySuspectIsRepeatedWithAllItsCrashes)
{
    constexpr std::size_t Limit = 16;
    constexpr std::size_t Rounds = 6;
    Router first("router-1");
    Router second("router-2");
    SteadyTime now = Start;
    for (PartHash part = 1; part <= Rounds; ++part)
        now = crash(first.breakers, {part}, 14 - 2 * part, now);
    for (std::size_t round = 0; round < Rounds; ++round) {
        const auto evidence = first.breakers.takeRepeats(Limit);
        std::size_t size = 0;
        for (const PartEvidence &part : evidence)
            size += 1 + part.crashes.size();
        EXPECT_LE(size, Limit);
        second.breakers.merge(evidence, ToThisRouter, now);
    }
    for (PartHash part = 1; part <= Rounds; ++part)
        EXPECT_EQ(second.breakers.crashesOf({part}), first.breakers.crashesOf({part})) << part;
}

TEST(PartBreakers, ATableOfManyPartsKeepsTheMostSuspected)
{
    Router router;
    const SteadyTime last = crash(router.breakers, {Crashing}, 3);
    for (PartHash part = 100; part < 2000; ++part)
        router.breakers.recordCrash(50, {part}, last + milliseconds(1));
    EXPECT_TRUE(router.breakers.findOpen({Crashing}, last + seconds(2)));
    EXPECT_FALSE(router.breakers.mayRetry({Crashing}));
}

TEST(PartBreakers, SimultaneousEvidenceFitsIntoOneDatagram)
{
    Router router;
    for (PartHash part = ~PartHash(0) - 100; part != 0; ++part)
        crash(router.breakers, {part}, 11);
    PartEvidenceMessage message;
    message.origin = "front-lvn-a-1";
    message.incarnation = ~std::uint64_t(0);
    message.sequence = ~std::uint64_t(0);
    message.evidence = router.breakers.takeUnsent(75, Start);
    EXPECT_FALSE(message.evidence.empty());
    EXPECT_LE(encodePartEvidence(message, Start + std::chrono::hours(20)).size(), 1400U);
    EXPECT_TRUE(router.breakers.hasUnsent(Start));
}

// Guards against all routers of a large fleet reporting an answer that each of them saw.
TEST(PartBreakers, AnAnswerThatManyRoutersSawIsReportedByFew)
{
    constexpr std::size_t Routers = 100;
    std::deque<Router> routers;
    for (std::size_t index = 0; index < Routers; ++index)
        routers.emplace_back("router-" + std::to_string(index));
    for (std::size_t index = 0; index < Routers; ++index) {
        for (std::size_t other = 0; other < Routers; ++other) {
            if (other != index)
                routers[index].breakers.addRouter("router-" + std::to_string(other));
        }
        const PartEvidence crashed{First, {{1, Start}}};
        routers[index].breakers.merge({crashed}, ToAllRouters, Start);
        routers[index].breakers.recordAnswer({First}, Start + milliseconds(1));
    }
    std::vector<PartEvidence> reported;
    const auto report = [&](SteadyTime now) {
        std::size_t reporters = 0;
        for (Router &router : routers) {
            const auto unsent = router.breakers.takeUnsent(75, now);
            reporters += unsent.empty() ? 0 : 1;
            reported.insert(reported.end(), unsent.begin(), unsent.end());
        }
        return reporters;
    };
    EXPECT_EQ(report(Start + milliseconds(10)), 2U);
    EXPECT_EQ(report(Start + milliseconds(100)), 0U);
    EXPECT_EQ(report(Start + milliseconds(270)), 6U); // The first two were not heard.
    for (Router &router : routers)
        router.breakers.merge(reported, ToAllRouters, Start + milliseconds(280));
    EXPECT_EQ(report(Start + seconds(10)), 0U);
}

TEST(PartEvidenceMessage, RoundTripsThroughEncoding)
{
    PartEvidenceMessage message;
    message.origin = "router-1";
    message.incarnation = 7;
    message.sequence = 8;
    message.evidence = {{Crashing, {{11, Start, true}, {12, Start + seconds(1)}}},
                        {Session, {{11, Start}}}};
    const SteadyTime sent = Start + seconds(5);
    const auto decoded = decodePartEvidence(encodePartEvidence(message, sent), sent + seconds(90));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->origin, "router-1");
    EXPECT_EQ(decoded->sequence, 8U);
    ASSERT_EQ(decoded->evidence.size(), 2U);
    EXPECT_EQ(decoded->evidence[0].part, Crashing);
    EXPECT_EQ(decoded->evidence[0].crashes[1].engine, 12U);
    EXPECT_EQ(decoded->evidence[0].crashes[1].at, Start + seconds(91));
    EXPECT_TRUE(decoded->evidence[0].crashes[0].answered);
    EXPECT_FALSE(decoded->evidence[0].crashes[1].answered);
}

RC_GTEST_PROP(PartEvidenceMessage, DecodingArbitraryBytesNeitherThrowsNorCrashes,
              (const std::string &bytes))
{
    (void)decodePartEvidence(bytes, Start);
}

// Guards against an answer of before a crash appearing later with each message, until it clears the
// part of that crash.
TEST(PartBreakers, ManyExchangesDoNotClearAPart)
{
    Router first("router-1");
    Router second("router-2");
    first.breakers.recordCrash(1, {Crashing}, Start);
    first.breakers.recordAnswer({Crashing}, Start + milliseconds(1));
    SteadyTime now = crash(first.breakers, {Crashing}, 4, Start + milliseconds(2));
    const auto exchange = [&](PartBreakers &from, PartBreakers &to) {
        const auto evidence = from.takeRepeats(75);
        const auto bytes = encodePartEvidence({"", 0, 0, evidence}, now);
        now += milliseconds(7);
        to.merge(decodePartEvidence(bytes, now)->evidence, ToThisRouter, now);
    };
    for (int round = 0; round < 500; ++round) {
        exchange(first.breakers, second.breakers);
        exchange(second.breakers, first.breakers);
    }
    EXPECT_EQ(first.breakers.crashesOf({Crashing}), 3U);
    EXPECT_EQ(second.breakers.crashesOf({Crashing}), 3U);
    EXPECT_TRUE(second.breakers.findOpen({Crashing}, now));
}

RC_GTEST_PROP(PartBreakers, RoutersThatExchangeEvidenceAgree, ())
{
    constexpr std::size_t Routers = 4;
    std::deque<Router> routers;
    for (std::size_t index = 0; index < Routers; ++index)
        routers.emplace_back("router");
    std::vector<std::vector<PartEvidence>> sent;
    SteadyTime now = Start;
    std::uint64_t engine = 0;
    const int steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        now += milliseconds(*rc::gen::inRange(1, 800));
        PartBreakers &breakers = routers[*rc::gen::inRange<std::size_t>(0, Routers)].breakers;
        PartBreakers::Parts parts{*rc::gen::inRange<PartHash>(1, 5)};
        if (*rc::gen::inRange(0, 2) == 0)
            parts.push_back(*rc::gen::inRange<PartHash>(1, 5));
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
        case 1:
            breakers.recordCrash(++engine, parts, now);
            break;
        case 2:
            breakers.recordAnswer(parts, now);
            break;
        default: // A message that was delayed, and may come more than once.
            if (!sent.empty())
                breakers.merge(sent[*rc::gen::inRange<std::size_t>(0, sent.size())], ToAllRouters,
                               now);
            break;
        }
        auto unsent = breakers.takeUnsent(75, now);
        if (!unsent.empty())
            sent.push_back(std::move(unsent));
    }
    for (std::size_t message = 0; message < sent.size(); ++message) {
        for (Router &router : routers) {
            router.breakers.merge(sent[message], ToAllRouters, now);
            auto unsent = router.breakers.takeUnsent(75, now);
            if (!unsent.empty())
                sent.push_back(std::move(unsent));
        }
        RC_ASSERT(sent.size() < 10'000U);
    }
    for (PartHash part = 1; part < 5; ++part) {
        const std::size_t crashes = routers[0].breakers.crashesOf({part});
        for (Router &router : routers)
            RC_ASSERT(router.breakers.crashesOf({part}) == crashes);
    }
    const PartHash answered = *rc::gen::inRange<PartHash>(1, 5);
    routers[0].breakers.recordAnswer({answered}, now + milliseconds(1));
    const auto cleared = routers[0].breakers.takeUnsent(75, now + milliseconds(1));
    for (Router &router : routers) {
        router.breakers.merge(cleared, ToAllRouters, now + milliseconds(2));
        RC_ASSERT(!router.breakers.findOpen({answered}, now + seconds(5)));
    }
}

RC_GTEST_PROP(PartBreakers, SendsOfACrashingPartAreBounded, ())
{
    Router router;
    SteadyTime now = Start;
    std::uint64_t crashes = 0;
    SteadyTime fifthAt = SteadyTime::max();
    int lateSends = 0;
    while (now < Start + seconds(300)) {
        now += milliseconds(*rc::gen::inRange(50, 4000));
        PartBreakers::Parts tested;
        if (router.breakers.admit({First, Crashing}, now, tested)) {
            router.breakers.recordAnswer({First, Session}, now);
            continue;
        }
        lateSends += fifthAt != SteadyTime::max() && now > fifthAt + seconds(3) ? 1 : 0;
        router.breakers.recordCrash(++crashes, {First, Crashing}, now);
        if (crashes == 5)
            fifthAt = now;
        router.breakers.recordAnswer({First, Session}, now + milliseconds(10));
    }
    RC_ASSERT(lateSends <= 3);
}

} // namespace almondmill::test
