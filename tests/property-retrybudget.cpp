// Properties of the retry budget and of the part of it that is reserved for failures.

#include "almondmill/admission/retrybudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

constexpr RetryBudget::Options Small{0.16, 0.1, 1};
constexpr RetryBudget::Options Medium{0.16, 0.3, 3.125};
constexpr RetryBudget::Options Large{0.2, 1, 20};

struct Step
{
    milliseconds elapsed;
    int requests;
    bool fails;
    int waiting; ///< Tries to retry because of silence.
};

rc::Gen<Step> anyStep()
{
    return rc::gen::apply(
            [](int elapsed, int requests, bool fails, int waiting) {
                return Step{milliseconds(elapsed), requests, fails, waiting};
            },
            rc::gen::inRange(0, 2000), rc::gen::inRange(0, 40), rc::gen::arbitrary<bool>(),
            rc::gen::inRange(0, 5));
}

/// Retries and refill of one step.
struct Outcome
{
    double taken;
    double refilled;
};

std::vector<Outcome> play(const RetryBudget::Options &options, const std::vector<Step> &steps)
{
    RetryBudget budget(options, Start);
    std::vector<Outcome> outcomes;
    SteadyTime now = Start;
    for (const Step &step : steps) {
        now += step.elapsed;
        for (int request = 0; request < step.requests; ++request)
            budget.requestStarted(now);
        Outcome outcome{0,
                        std::chrono::duration<double>(step.elapsed).count() * options.minPerSecond
                                + step.requests * options.share};
        if (step.fails && budget.take(now))
            ++outcome.taken;
        for (int request = 0; request < step.waiting; ++request)
            outcome.taken += budget.take(now, RetryReason::Silence) ? 1 : 0;
        outcomes.push_back(outcome);
    }
    return outcomes;
}

int silentRetriesAt(RetryBudget &budget, SteadyTime now)
{
    int taken = 0;
    while (budget.take(now, RetryReason::Silence))
        ++taken;
    return taken;
}

} // namespace

// Guards against more retries than the budget allows in any stretch of time, for whatever reasons
// they are taken.
RC_GTEST_PROP(RetryBudgetProperties, NoStretchOfTimeExceedsTheBudget, ())
{
    const auto options = *rc::gen::element(Small, Medium, Large);
    const auto outcomes = play(options, *rc::gen::container<std::vector<Step>>(anyStep()));
    for (std::size_t first = 0; first < outcomes.size(); ++first) {
        double taken = 0;
        double allowed = options.maxAvailable;
        for (std::size_t last = first; last < outcomes.size(); ++last) {
            taken += outcomes[last].taken;
            allowed += outcomes[last].refilled;
            RC_ASSERT(taken <= allowed + 1e-6);
        }
    }
}

// Guards against requests that merely wait at a silent endpoint taking what failures need next.
RC_GTEST_PROP(RetryBudgetProperties, AFailureFindsBudgetAfterAnyNumberOfWaitingRequests, ())
{
    const auto options = *rc::gen::element(Medium, Large);
    RetryBudget budget(options, Start);
    SteadyTime now = Start;
    for (const Step &step : *rc::gen::container<std::vector<Step>>(anyStep())) {
        now += step.elapsed;
        for (int request = 0; request < step.requests; ++request)
            budget.requestStarted(now);
        silentRetriesAt(budget, now);
        RC_ASSERT(budget.canTake(now));
    }
}

// Guards against a small budget that waiting requests use up, and against one that they never get.
TEST(RetryBudget, WaitingRequestsGetAThirdOfASmallBudgetAtMost)
{
    constexpr int Retries = 300;
    constexpr int TriesPerRetry = 10;
    const RetryBudget::Options options{0, 1, 1};
    RetryBudget budget(options, Start);
    int silent = 0;
    int tries = 0;
    int served = 0;
    for (; tries < Retries * TriesPerRetry; ++tries) {
        const SteadyTime now = Start + tries * milliseconds(1000 / TriesPerRetry);
        silent += silentRetriesAt(budget, now);
        served += budget.canTake(now) ? 1 : 0;
    }
    EXPECT_GT(silent, 0);
    EXPECT_LE(silent, Retries / 3 + 1);
    EXPECT_GE(served, tries / 2) << "times at which a failure would have found budget";
}

// Guards against retries for silent endpoints out of a small budget that failures use.
TEST(RetryBudget, WaitingRequestsGetNothingOfASmallBudgetThatFailuresNeed)
{
    constexpr int Seconds = 100;
    const RetryBudget::Options options{0, 1, 1};
    RetryBudget budget(options, Start);
    for (int second = 0; second < Seconds; ++second) {
        const SteadyTime now = Start + std::chrono::seconds(second);
        EXPECT_EQ(silentRetriesAt(budget, now), 0);
        EXPECT_TRUE(budget.take(now));
    }
}

} // namespace almondmill::test
