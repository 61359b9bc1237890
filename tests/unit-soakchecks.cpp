// Each check of the soak detects the violation that it is meant for, and reports nothing when a
// disturbance accounts for it.

#include "soak/checks.h"
#include "soak/faultplan.h"

#include "standins/rietwerk/answertext.h"

#include <gtest/gtest.h>

#include <set>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

/// A history with one correctly answered request, which the tests modify.
class SoakChecks : public testing::Test
{
protected:
    SoakChecks()
    {
        history.configurations.push_back({SiteConfiguration(), Start});
        attempt.id = "r1";
        attempt.kind = RequestKind::NonIdempotent;
        attempt.path = "/once/a";
        attempt.key = "key-1";
        attempt.expectedBody = "r1 POST /once/a body 0 account ";
        attempt.timeout = milliseconds(1500);
        attempt.sentAt = Start + seconds(10);
        attempt.headAt = attempt.sentAt + milliseconds(30);
        attempt.endedAt = attempt.sentAt + milliseconds(31);
        attempt.status = 200;
        attempt.isComplete = true;
        attempt.signature = standin::rietwerk::signatureOf("desk-1.1", "r1");
        attempt.body = attempt.expectedBody + "open\n";
        run.requestId = "r1";
        run.endpoint = "desk-1.1";
        run.service = "desk";
        run.path = "/once/a";
        run.body = attempt.body;
        run.account = "open";
        run.beganAt = attempt.sentAt + milliseconds(1);
    }

    std::vector<std::string> violatedChecks()
    {
        history.attempts = {attempt};
        if (history.runs.empty())
            history.runs = {run};
        std::vector<std::string> checks;
        for (const Violation &violation : checkRequests(history))
            checks.push_back(violation.check);
        for (const Violation &violation : checkBounds(history, SoakBounds()))
            checks.push_back(violation.check);
        for (const Violation &violation : checkStatements(history, SoakBounds()))
            checks.push_back(violation.check);
        return checks;
    }

    void disturb(Disturbance::Scope scope, const std::string &name, bool planned = false)
    {
        history.disturbances.push_back({scope, name, attempt.sentAt, attempt.endedAt, planned});
    }

    using Checks = std::vector<std::string>;

    SoakHistory history;
    Attempt attempt;
    RequestRun run;
};

} // namespace

TEST_F(SoakChecks, AProperAnswerIsNoViolation)
{
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, ASecondRunOfARequestThatMayRunOnce)
{
    history.runs = {run, run};
    EXPECT_EQ(violatedChecks(), Checks{"at-most-once"});
}

TEST_F(SoakChecks, ARefusalOfARequestThatRan)
{
    attempt.status = 503;
    EXPECT_EQ(violatedChecks(), Checks{"true-refusal"});
}

TEST_F(SoakChecks, AnswersOfOtherRequests)
{
    attempt.signature = standin::rietwerk::signatureOf("desk-1.1", "r2");
    EXPECT_EQ(violatedChecks(), Checks{"own-answer"});
    attempt.signature = standin::rietwerk::signatureOf("desk-1.1", "r1");
    attempt.body = "r2 POST /once/a body 0 account open\n";
    EXPECT_EQ(violatedChecks(), Checks{"own-answer"});
}

TEST_F(SoakChecks, ATruncatedBodyInACompleteAnswer)
{
    attempt.body.pop_back();
    EXPECT_EQ(violatedChecks(), Checks{"own-answer"});
}

TEST_F(SoakChecks, RequestsChangedByTheRouter)
{
    run.path = "/once/b";
    EXPECT_EQ(violatedChecks(), Checks{"unchanged-request"});
}

// The sum over the routers counts, not what one of them sends.
TEST_F(SoakChecks, MoreRequestsThanALimitAllowsFromAllRouters)
{
    constexpr std::size_t Allowed = 17; // 1.5 times 4 s of 2 per second, and 5.
    history.rateLimits.push_back({"desk-1.1", 2, attempt.sentAt, attempt.sentAt + seconds(10)});
    attempt.namesRateLimit = true;
    attempt.endedAt = attempt.sentAt + seconds(9);
    const auto sendFrom = [&](std::size_t requests) {
        history.runs.assign(requests, run);
        for (std::size_t index = 0; index < requests; ++index)
            history.runs[index].beganAt =
                    attempt.sentAt + seconds(4) + milliseconds(static_cast<int>(index) * 100);
        history.attempts = {attempt};
        return checkStatements(history, SoakBounds()).size();
    };
    EXPECT_EQ(sendFrom(Allowed), 0U);
    EXPECT_EQ(sendFrom(Allowed + 1), 1U);
    attempt.namesRateLimit = false;
    EXPECT_EQ(sendFrom(Allowed + 1), 0U);
    attempt.namesRateLimit = true;
    disturb(Disturbance::Scope::RouterProcess, "router-1");
    EXPECT_EQ(sendFrom(Allowed + 1), 0U);
}

TEST_F(SoakChecks, HeadersThatOnlyTheRouterMaySet)
{
    run.hasForgedHeaders = true;
    EXPECT_EQ(violatedChecks(), Checks{"no-foreign-headers"});
}

TEST_F(SoakChecks, RunsOfRequestsThatNoCallerSent)
{
    RequestRun other = run;
    other.requestId = "r2";
    history.runs = {run, other};
    EXPECT_EQ(violatedChecks(), Checks{"asked-for"});
}

TEST_F(SoakChecks, RunsAtServicesAndForAccountsThatWereNeverAllowed)
{
    run.service = "models";
    EXPECT_EQ(violatedChecks(), (Checks{"allowed-service", "configuration"}));
    history.runs.clear();
    run.service = "desk";
    run.account = "walled";
    EXPECT_EQ(violatedChecks(), (Checks{"own-account", "configuration"}));
}

TEST_F(SoakChecks, StreamsWithAMissingOrARepeatedEvent)
{
    using standin::rietwerk::eventFor;
    attempt.kind = RequestKind::Stream;
    attempt.path = run.path = "/stream/a";
    attempt.expectedBody = "r1 POST /stream/a body 0 account ";
    run.body = attempt.expectedBody + "open\n";
    run.service = "models";
    attempt.requestedEvents = 3;
    attempt.body =
            eventFor("r1", 1) + "weight-versions: 2\n" + eventFor("r1", 2) + eventFor("r1", 3);
    EXPECT_EQ(violatedChecks(), Checks());
    attempt.body = eventFor("r1", 1) + eventFor("r1", 3);
    EXPECT_EQ(violatedChecks(), Checks{"events-in-order"});
    attempt.body = eventFor("r1", 1) + eventFor("r1", 1);
    EXPECT_EQ(violatedChecks(), Checks{"events-in-order"});
    attempt.body = eventFor("r1", 1) + eventFor("r1", 2);
    EXPECT_EQ(violatedChecks(), Checks{"events-in-order"});
}

TEST_F(SoakChecks, AnOutdatedConfigurationAfterThePropagationBound)
{
    SiteConfiguration moved;
    moved.plainService = "annex";
    history.configurations.push_back({moved, attempt.sentAt - milliseconds(2100)});
    EXPECT_EQ(violatedChecks(), Checks{"configuration"});
    disturb(Disturbance::Scope::Router, "router-1");
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, AnOutdatedConfigurationWithinThePropagationBound)
{
    SiteConfiguration moved;
    moved.plainService = "annex";
    history.configurations.push_back({moved, attempt.sentAt - milliseconds(1900)});
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, ALateAnswer)
{
    attempt.headAt = attempt.endedAt = attempt.sentAt + milliseconds(2100);
    EXPECT_EQ(violatedChecks(), Checks{"answer-in-time"});
}

TEST_F(SoakChecks, ATruncatedAnswerOfAForwardedRequest)
{
    attempt.status = 0;
    attempt.isComplete = false;
    EXPECT_EQ(violatedChecks(), Checks{"whole-answer"});
    disturb(Disturbance::Scope::Router, "router-1", true);
    EXPECT_EQ(violatedChecks(), Checks{"whole-answer"})
            << "a planned shutdown must not truncate answers";
    disturb(Disturbance::Scope::Endpoint, "desk-1");
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, ARequestAtAnEndpointPastItsDrainDeadline)
{
    history.drainings.push_back({"desk-1.1", run.beganAt - milliseconds(2100)});
    EXPECT_EQ(violatedChecks(), Checks{"drain"});
    disturb(Disturbance::Scope::Endpoint, "desk-1");
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, ARequestToAnEndpointThatSaidThatItLeaves)
{
    Attempt announced = attempt;
    announced.id = "r0";
    announced.announcesLeaving = true;
    announced.signature = standin::rietwerk::signatureOf("desk-1.1", "r0");
    const auto checksAfter = [&](milliseconds time) {
        announced.headAt = attempt.sentAt - time;
        history.attempts = {announced, attempt};
        history.runs = {run};
        std::vector<std::string> checks;
        for (const Violation &violation : checkStatements(history, SoakBounds()))
            checks.push_back(violation.check);
        return checks;
    };
    EXPECT_EQ(checksAfter(milliseconds(1900)), Checks());
    EXPECT_EQ(checksAfter(milliseconds(2100)), Checks{"leaving"});
    announced.router = 5;
    EXPECT_EQ(checksAfter(milliseconds(2100)), Checks()) << "another router was told";
    announced.router = attempt.router;
    for (const auto scope : {Disturbance::Scope::Store, Disturbance::Scope::Router,
                             Disturbance::Scope::Endpoint, Disturbance::Scope::Site}) {
        disturb(scope, scope == Disturbance::Scope::Endpoint ? "desk-1" : "router-1");
        EXPECT_EQ(checksAfter(milliseconds(2100)), Checks{"leaving"}) << "no excuse";
    }
    disturb(Disturbance::Scope::RouterProcess, "router-1");
    EXPECT_EQ(checksAfter(milliseconds(2100)), Checks()) << "restarted or suspended";
}

TEST_F(SoakChecks, RequestsToAnEndpointInItsPause)
{
    const SteadyTime refusedAt = run.beganAt - milliseconds(600);
    history.refusals = {{"r1", "desk-1.1", refusedAt, milliseconds(1000)},
                        {"r1", "desk-1.1", run.beganAt, std::nullopt}};
    EXPECT_EQ(violatedChecks(), Checks()) << "two are allowed";
    history.refusals.push_back({"r1", "desk-1.1", refusedAt + milliseconds(990), std::nullopt});
    EXPECT_EQ(violatedChecks(), Checks{"pause"});
    disturb(Disturbance::Scope::Store, "store");
    EXPECT_EQ(violatedChecks(), Checks{"pause"}) << "a store outage is no excuse";
    disturb(Disturbance::Scope::Endpoint, "desk-1");
    EXPECT_EQ(violatedChecks(), Checks());
    history.disturbances.clear();
    history.refusals.back().at = refusedAt + milliseconds(1010);
    EXPECT_EQ(violatedChecks(), Checks()) << "the pause has ended";
}

TEST_F(SoakChecks, OutdatedWeightsAfterTheUpdateBound)
{
    run.weightsVersion = 1;
    history.weights.push_back({2, run.beganAt - milliseconds(8100)});
    EXPECT_EQ(violatedChecks(), Checks{"weights"});
    disturb(Disturbance::Scope::Endpoint, "engine-4");
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST_F(SoakChecks, TwoLeaseHoldersWithinTheHandoverIntervalAndDecreasingFencingTokens)
{
    history.orders = {{"engine-1.1", "router-1", 5, Start},
                      {"engine-1.1", "router-2", 4, Start + seconds(1)}};
    EXPECT_EQ(violatedChecks(), (Checks{"one-holder", "fencing"}));
    history.orders[1] = {"engine-1.1", "router-2", 6, Start + seconds(4)};
    EXPECT_EQ(violatedChecks(), Checks());
}

TEST(FaultPlan, TheSameSeedGivesTheSameFaults)
{
    const SoakSize size;
    const auto first = planFaults(7, seconds(60), size);
    const auto second = planFaults(7, seconds(60), size);
    ASSERT_EQ(first.size(), second.size());
    ASSERT_GT(first.size(), 30U);
    std::set<std::size_t> kinds;
    for (std::size_t at = 0; at < first.size(); ++at) {
        EXPECT_EQ(describe(first[at].fault), describe(second[at].fault));
        EXPECT_LT(first[at].at, seconds(60));
        kinds.insert(first[at].fault.index());
    }
    EXPECT_GT(kinds.size(), 8U);
}

} // namespace almondmill::soak
