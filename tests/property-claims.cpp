#include "support/claimharness.h"

#include "almondmill/kernel/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace almondmill::test {

namespace {

constexpr int StoreFaults = 5;
constexpr int SendFaults = 4;
constexpr int MostHolders = 4;
constexpr int KillChance = 25;   ///< One step in so many.
constexpr int RareFault = 3;     ///< One step in so many.
constexpr int FrequentFault = 1; ///< One step in so many.
constexpr int LateChance = 10;   ///< One step in so many.
constexpr int SettleChance = 10; ///< One step in so many.
constexpr int MostSteps = 60;

/// The next random number below `bound`; the same sequence for the same state.
int below(std::uint64_t &state, int bound)
{
    state = mixHash(state, static_cast<std::uint64_t>(bound));
    return static_cast<int>((state >> 33U) % static_cast<std::uint64_t>(bound));
}

/// A fault in one step out of `chance`.
StepFault randomFault(std::uint64_t &state, int chance)
{
    if (below(state, chance) != 0)
        return {};
    return {static_cast<StoreFault>(below(state, StoreFaults)),
            static_cast<SendFault>(below(state, SendFaults))};
}

/// Makes up to MostSteps random steps: holders arrive, move, are left frozen, are killed; changes
/// are refused, lost or come late. Then lets the living ones finish.
void interleave(ClaimHarness &harness, std::uint64_t seed)
{
    std::uint64_t state = seed;
    harness.add();
    for (int i = 0; i < MostSteps; ++i) {
        if (harness.size() < MostHolders && below(state, 8) == 0)
            harness.add();
        const auto holder =
                static_cast<std::size_t>(below(state, static_cast<int>(harness.size())));
        if (below(state, LateChance) == 0)
            harness.store().applyLate();
        if (below(state, SettleChance) == 0)
            harness.settle();
        if (below(state, KillChance) == 0)
            harness.kill(holder);
        else
            harness.move(holder, randomFault(state, RareFault));
    }
    harness.finish();
}

/// How many of `count` random interleavings ran the call more than once.
unsigned doubleRuns(const ClaimHarness::Way &way, unsigned count)
{
    unsigned doubled = 0;
    for (unsigned seed = 1; seed <= count; ++seed) {
        ClaimHarness harness(way);
        interleave(harness, seed);
        doubled += harness.runs() > 1 ? 1 : 0;
    }
    return doubled;
}

} // namespace

RC_GTEST_PROP(ClaimProperty, RunsAtMostOnceAndRefusesTruthfully, (std::uint64_t seed))
{
    ClaimHarness harness(ClaimHarness::onceOnly);
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

/// With lost and late answers of the store but no sending, a later call with the key runs.
RC_GTEST_PROP(ClaimProperty, NoKeyStaysBlockedByCallsThatWereNeverSent, (std::uint64_t seed))
{
    ClaimHarness harness(ClaimHarness::onceOnly);
    std::uint64_t state = seed;
    const int holders = 1 + below(state, MostHolders);
    const bool firstReleased = below(state, 2) == 0;
    for (int holder = 0; holder < holders; ++holder) {
        harness.add();
        while (holder == 0 && firstReleased && !harness.allFinished())
            harness.move(0, {StoreFault::None, SendFault::NeverConnected});
    }
    while (!harness.allFinished()) {
        const auto holder = static_cast<std::size_t>(below(state, holders));
        harness.move(holder, {randomFault(state, FrequentFault).store, SendFault::NeverConnected});
        if (below(state, LateChance) == 0)
            harness.store().applyLate();
    }
    harness.finish();
    RC_ASSERT(harness.runs() == 0U);
    harness.add();
    harness.finish();
    RC_ASSERT(harness.runs() == 1U);
}

TEST(ClaimProperty, TheNaiveWaysRunTwice)
{
    constexpr unsigned Count = 300;
    const unsigned without = doubleRuns(ClaimHarness::noClaim, Count);
    const unsigned lapsing = doubleRuns(ClaimHarness::lapsingLease, Count);
    const unsigned claimed = doubleRuns(ClaimHarness::onceOnly, Count);
    std::cout << "double runs in " << Count << " interleavings: no claim " << without
              << ", lapsing lease " << lapsing << ", claim " << claimed << "\n";
    EXPECT_GT(without, 0U);
    EXPECT_GT(lapsing, 0U);
    EXPECT_EQ(claimed, 0U);
}

} // namespace almondmill::test
