#include "support/claimharness.h"

#include "almondmill/kernel/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

constexpr int StoreFaults = 5;
constexpr int SendFaults = 4;
constexpr int MaxHolders = 4;
constexpr int KillChance = 25;   ///< On average one step in this many.
constexpr int RareFault = 3;     ///< On average one step in this many.
constexpr int FrequentFault = 1; ///< On average one step in this many.
constexpr int LateChance = 10;   ///< On average one step in this many.
constexpr int SettleChance = 10; ///< On average one step in this many.
constexpr int MaxSteps = 60;

/// Returns the next pseudo-random number below `bound`. Equal states give equal sequences.
int randomBelow(std::uint64_t &state, int bound)
{
    state = mixHash(state, static_cast<std::uint64_t>(bound));
    return static_cast<int>((state >> 33U) % static_cast<std::uint64_t>(bound));
}

/// Returns a fault in one of `chance` steps on average.
StepFault randomFault(std::uint64_t &state, int chance)
{
    if (randomBelow(state, chance) != 0)
        return {};
    return {static_cast<StoreFault>(randomBelow(state, StoreFaults)),
            static_cast<SendFault>(randomBelow(state, SendFaults))};
}

/// Makes up to MaxSteps random steps, in which holders are added, advanced, left paused or killed,
/// and store changes are refused, lost or delayed. Then lets the holders that were not killed
/// finish.
void interleave(ClaimHarness &harness, std::uint64_t seed)
{
    std::uint64_t state = seed;
    harness.add();
    for (int i = 0; i < MaxSteps; ++i) {
        if (harness.size() < MaxHolders && randomBelow(state, 8) == 0)
            harness.add();
        const auto holder =
                static_cast<std::size_t>(randomBelow(state, static_cast<int>(harness.size())));
        if (randomBelow(state, LateChance) == 0)
            harness.store().applyLate();
        if (randomBelow(state, SettleChance) == 0)
            harness.settle();
        if (randomBelow(state, KillChance) == 0)
            harness.kill(holder);
        else
            harness.advance(holder, randomFault(state, RareFault));
    }
    harness.finish();
}

/// Returns how many of `count` random interleavings run the call more than once.
unsigned doubleRuns(const ClaimHarness::CallHandler &handler, unsigned count)
{
    unsigned doubled = 0;
    for (unsigned seed = 1; seed <= count; ++seed) {
        ClaimHarness harness(handler);
        interleave(harness, seed);
        doubled += harness.runs() > 1 ? 1 : 0;
    }
    return doubled;
}

} // namespace

RC_GTEST_PROP(ClaimProperty, RunsAtMostOnceAndReportsCorrectlyWhetherItRan, (std::uint64_t seed))
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    interleave(harness, seed);
    RC_ASSERT(harness.runs() <= 1U);
    unsigned answered = 0;
    for (std::size_t holder = 0; holder < harness.size(); ++holder) {
        const CallResult &result = harness.result(holder);
        if (result.ran == "no")
            RC_ASSERT(result.sent == 0U);
        if (result.kind == CallResult::Kind::Answered)
            ++answered;
        if (result.kind == CallResult::Kind::Replayed)
            RC_ASSERT(harness.runs() == 1U);
    }
    RC_ASSERT(answered <= 1U);
}

/// When store answers are lost or delayed but no call is sent, a later call with the key runs.
RC_GTEST_PROP(ClaimProperty, NoKeyStaysBlockedByCallsThatWereNeverSent, (std::uint64_t seed))
{
    ClaimHarness harness(ClaimHarness::atMostOnce);
    std::uint64_t state = seed;
    const int holders = 1 + randomBelow(state, MaxHolders);
    const bool firstReleased = randomBelow(state, 2) == 0;
    for (int holder = 0; holder < holders; ++holder) {
        harness.add();
        while (holder == 0 && firstReleased && !harness.allFinished())
            harness.advance(0, {StoreFault::None, SendFault::NeverConnected});
    }
    while (!harness.allFinished()) {
        const auto holder = static_cast<std::size_t>(randomBelow(state, holders));
        harness.advance(holder,
                        {randomFault(state, FrequentFault).store, SendFault::NeverConnected});
        if (randomBelow(state, LateChance) == 0)
            harness.store().applyLate();
    }
    harness.finish();
    RC_ASSERT(harness.runs() == 0U);
    harness.add();
    harness.finish();
    RC_ASSERT(harness.runs() == 1U);
}

TEST(ClaimProperty, HandlersWithoutAClaimOrWithAnExpiringLeaseRunTwice)
{
    constexpr unsigned Count = 300;
    const unsigned without = doubleRuns(ClaimHarness::noClaim, Count);
    const unsigned expiring = doubleRuns(ClaimHarness::expiringLease, Count);
    const unsigned claimed = doubleRuns(ClaimHarness::atMostOnce, Count);
    std::cout << "double runs in " << Count << " interleavings: no claim " << without
              << ", expiring lease " << expiring << ", claim " << claimed << "\n";
    EXPECT_GT(without, 0U);
    EXPECT_GT(expiring, 0U);
    EXPECT_EQ(claimed, 0U);
}

} // namespace almondmill::test
