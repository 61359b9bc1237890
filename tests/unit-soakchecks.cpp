// The soak's checks find what is planted, and nothing where a disturbance excuses it.

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

/// One request of each property that a check needs, answered as it should be.
class SoakChecks : public testing::Test
{
protected:
    SoakChecks()
    {
        history.configurations.push_back({SiteConfiguration(), Start});
        attempt.id = "r1";
        attempt.kind = RequestKind::Once;
        attempt.path = "/once/a";
        attempt.key = "key-1";
        attempt.expectedBody = "r1 POST /once/a body 0 account ";
        attempt.patience = milliseconds(1500);
        attempt.sentAt = Start + seconds(10);
        attempt.headAt = attempt.sentAt + milliseconds(30);
        attempt.endedAt = attempt.sentAt + milliseconds(31);
        attempt.status = 200;
        attempt.isWhole = true;
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

    std::vector<std::string> found()
    {
        history.attempts = {attempt};
        if (history.runs.empty())
            history.runs = {run};
        std::vector<std::string> checks;
        for (const Violation &violation : checkRequests(history))
            checks.push_back(violation.check);
        for (const Violation &violation : checkBounds(history, SoakBounds()))
            checks.push_back(violation.check);
        return checks;
    }

    void disturb(Disturbance::What what, const std::string &name, bool planned = false)
    {
        history.disturbances.push_back({what, name, attempt.sentAt, attempt.endedAt, planned});
    }

    using Found = std::vector<std::string>;

    SoakHistory history;
    Attempt attempt;
    RequestRun run;
};

} // namespace

TEST_F(SoakChecks, AProperAnswerIsNoViolation)
{
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, ASecondRunOfARequestThatMayRunOnce)
{
    history.runs = {run, run};
    EXPECT_EQ(found(), Found{"at-most-once"});
}

TEST_F(SoakChecks, ARefusalOfARequestThatRan)
{
    attempt.status = 503;
    EXPECT_EQ(found(), Found{"true-refusal"});
}

TEST_F(SoakChecks, AnswersOfOthers)
{
    attempt.signature = standin::rietwerk::signatureOf("desk-1.1", "r2");
    EXPECT_EQ(found(), Found{"own-answer"});
    attempt.signature = standin::rietwerk::signatureOf("desk-1.1", "r1");
    attempt.body = "r2 POST /once/a body 0 account open\n";
    EXPECT_EQ(found(), Found{"own-answer"});
}

TEST_F(SoakChecks, AHalfBodyThatLooksWhole)
{
    attempt.body.pop_back();
    EXPECT_EQ(found(), Found{"own-answer"});
}

TEST_F(SoakChecks, RequestsThatChangedOnTheWay)
{
    run.path = "/once/b";
    EXPECT_EQ(found(), Found{"unchanged-request"});
}

TEST_F(SoakChecks, HeadersThatOnlyTheRouterMaySet)
{
    run.hasForeignHeaders = true;
    EXPECT_EQ(found(), Found{"no-foreign-headers"});
}

TEST_F(SoakChecks, RunsThatNobodyAskedFor)
{
    RequestRun other = run;
    other.requestId = "r2";
    history.runs = {run, other};
    EXPECT_EQ(found(), Found{"asked-for"});
}

TEST_F(SoakChecks, RunsAtServicesAndForAccountsThatWereNeverAllowed)
{
    run.service = "models";
    EXPECT_EQ(found(), (Found{"allowed-service", "configuration"}));
    history.runs.clear();
    run.service = "desk";
    run.account = "walled";
    EXPECT_EQ(found(), (Found{"own-account", "configuration"}));
}

TEST_F(SoakChecks, StreamsWithAMissingOrARepeatedEvent)
{
    using standin::rietwerk::eventFor;
    attempt.kind = RequestKind::Stream;
    attempt.path = run.path = "/stream/a";
    attempt.expectedBody = "r1 POST /stream/a body 0 account ";
    run.body = attempt.expectedBody + "open\n";
    run.service = "models";
    attempt.eventsAsked = 3;
    attempt.body =
            eventFor("r1", 1) + "weight-versions: 2\n" + eventFor("r1", 2) + eventFor("r1", 3);
    EXPECT_EQ(found(), Found());
    attempt.body = eventFor("r1", 1) + eventFor("r1", 3);
    EXPECT_EQ(found(), Found{"events-in-order"});
    attempt.body = eventFor("r1", 1) + eventFor("r1", 1);
    EXPECT_EQ(found(), Found{"events-in-order"});
    attempt.body = eventFor("r1", 1) + eventFor("r1", 2);
    EXPECT_EQ(found(), Found{"events-in-order"});
}

TEST_F(SoakChecks, AnOldConfigurationBeyondItsTime)
{
    SiteConfiguration moved;
    moved.plainService = "annex";
    history.configurations.push_back({moved, attempt.sentAt - milliseconds(2100)});
    EXPECT_EQ(found(), Found{"configuration"});
    disturb(Disturbance::What::Router, "router-1");
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, AnOldConfigurationWithinItsTime)
{
    SiteConfiguration moved;
    moved.plainService = "annex";
    history.configurations.push_back({moved, attempt.sentAt - milliseconds(1900)});
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, ALateAnswer)
{
    attempt.headAt = attempt.endedAt = attempt.sentAt + milliseconds(2100);
    EXPECT_EQ(found(), Found{"answer-in-time"});
}

TEST_F(SoakChecks, ACutAnswerOfARequestThatWasPassedOn)
{
    attempt.status = 0;
    attempt.isWhole = false;
    EXPECT_EQ(found(), Found{"whole-answer"});
    disturb(Disturbance::What::Router, "router-1", true);
    EXPECT_EQ(found(), Found{"whole-answer"}) << "a planned shutdown excuses nothing";
    disturb(Disturbance::What::Endpoint, "desk-1");
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, ARequestAtAnEndpointThatSaidLongAgoThatItLeaves)
{
    history.leavings.push_back({"desk-1.1", run.beganAt - milliseconds(2100)});
    EXPECT_EQ(found(), Found{"drain"});
    disturb(Disturbance::What::Endpoint, "desk-1");
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, OldWeightsBeyondTheirTime)
{
    run.weightsVersion = 1;
    history.weights.push_back({2, run.beganAt - milliseconds(8100)});
    EXPECT_EQ(found(), Found{"weights"});
    disturb(Disturbance::What::Endpoint, "engine-4");
    EXPECT_EQ(found(), Found());
}

TEST_F(SoakChecks, TwoHoldersWithinATurnAndFallingNumbers)
{
    history.orders = {{"engine-1.1", "router-1", 5, Start},
                      {"engine-1.1", "router-2", 4, Start + seconds(1)}};
    EXPECT_EQ(found(), (Found{"one-holder", "fencing"}));
    history.orders[1] = {"engine-1.1", "router-2", 6, Start + seconds(4)};
    EXPECT_EQ(found(), Found());
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
