#include "support/fakefleet.h"

#include <gtest/gtest.h>

namespace almondmill::test {

using namespace std::chrono_literals;

namespace {

/// Every live router must remove a dead one from its view within this time.
constexpr std::chrono::milliseconds RemovalBound{10000};

FakeFleet convergedFleet(std::size_t nodes)
{
    FakeFleet fleet(nodes);
    EXPECT_TRUE(fleet.runUntilConverged(20s)) << "the views did not converge within 20 s";
    fleet.run(20s);
    return fleet;
}

FakeFleet::Link partitionAt(std::size_t firstOfSecondSide)
{
    return [=](std::size_t from, std::size_t to) {
        return (from < firstOfSecondSide) == (to < firstOfSecondSide);
    };
}

} // namespace

TEST(Membership, FormsAFleetFromThreeSeeds)
{
    FakeFleet fleet(56);
    EXPECT_TRUE(fleet.runUntilConverged(10s));
}

TEST(Membership, RemovesADeadMemberWithinTenSeconds)
{
    for (const std::size_t nodes : {2U, 5U, 14U, 56U}) {
        FakeFleet fleet = convergedFleet(nodes);
        fleet.pause(nodes - 1);
        EXPECT_TRUE(fleet.runUntilConverged(RemovalBound)) << nodes << " nodes";
        EXPECT_EQ(fleet.falseDeaths(), 0U);
    }
}

TEST(Membership, ReadmitsAPausedMemberWithoutFlapping)
{
    FakeFleet fleet = convergedFleet(14);
    fleet.pause(5);
    fleet.run(60s);
    ASSERT_FALSE(fleet.sees(0, 5));
    fleet.resume(5);
    EXPECT_TRUE(fleet.runUntilConverged(RemovalBound));
    fleet.run(60s);
    EXPECT_TRUE(fleet.converged());
    EXPECT_EQ(fleet.falseDeaths(), 0U) << "the resumed router or another one removed a live member";
}

TEST(Membership, ExtendsSuspicionsByTheTimeItWasPaused)
{
    FakeFleet fleet = convergedFleet(14);
    fleet.pause(6);
    fleet.run(4s);
    ASSERT_GT(fleet.membership(5).suspectCount(), 0U);
    fleet.pause(5);
    fleet.resume(6);
    fleet.run(60s);
    fleet.resume(5);
    EXPECT_TRUE(fleet.runUntilConverged(RemovalBound));
    EXPECT_EQ(fleet.falseDeaths(), 0U)
            << "a suspicion expired while the suspecting router was paused";
}

TEST(Membership, ReportsANewIncarnationAfterARestartAtTheSameAddress)
{
    FakeFleet fleet = convergedFleet(14);
    fleet.restart(5);
    EXPECT_TRUE(fleet.runUntilConverged(RemovalBound));
    fleet.run(2s);
    const std::uint64_t incarnation = fleet.membership(5).self().incarnation;
    for (const Member &member : fleet.membership(9).view()) {
        if (member.address == FakeFleet::address(5)) {
            EXPECT_EQ(member.incarnation, incarnation);
        }
    }
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

TEST(Membership, RaisesItsRevisionAboveThatOfAnEarlierIncarnation)
{
    const SteadyTime now{std::chrono::hours(1)};
    Membership restarted({"b", "a", 7, 50, 0, MemberState::Alive, false}, {}, 1, now);
    Membership other({"a", "a", 3, 1, 0, MemberState::Alive, false}, {}, 2, now);
    Heartbeat earlier;
    earlier.sender = "b";
    earlier.incarnation = 6;
    earlier.revision = 100;
    other.answer(earlier, now);
    restarted.answer(other.answer(restarted.heartbeat(), now), now);
    EXPECT_GT(restarted.self().revision, 100U);
    other.answer(restarted.heartbeat(), now);
    ASSERT_EQ(other.view().size(), 2U);
    EXPECT_EQ(other.view()[1].incarnation, 7U);
}

TEST(Membership, KeepsAMemberThatOnlyOneOtherCannotReach)
{
    FakeFleet fleet = convergedFleet(8);
    const std::string target = fleet.membership(2).ringTargets().front();
    fleet.setLink([target](std::size_t from, std::size_t to) {
        return from != 2 || FakeFleet::address(to) != target;
    });
    fleet.run(120s);
    EXPECT_TRUE(fleet.converged());
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

TEST(Membership, MergesViewsAfterAnHourOfPartitionBetweenDataCentres)
{
    FakeFleet fleet = convergedFleet(24);
    fleet.setLink(partitionAt(12));
    fleet.run(1h);
    for (std::size_t i = 0; i < 24; ++i)
        ASSERT_EQ(fleet.sees(0, i), i < 12);
    const std::size_t before = fleet.falseDeaths();
    fleet.setLink([](std::size_t, std::size_t) { return true; });
    EXPECT_TRUE(fleet.runUntilConverged(30s));
    fleet.run(60s);
    EXPECT_TRUE(fleet.converged());
    EXPECT_EQ(fleet.falseDeaths(), before)
            << "one side removed its own members after the partition healed";
}

TEST(Membership, ConvergesWhenHalfTheFleetIsReplacedAtOnce)
{
    FakeFleet fleet = convergedFleet(28);
    for (std::size_t i = 14; i < 28; ++i) {
        fleet.pause(i);
        fleet.restart(i + 14);
    }
    EXPECT_TRUE(fleet.runUntilConverged(RemovalBound));
    EXPECT_EQ(fleet.falseDeaths(), 0U);
}

TEST(Membership, ReportsALeavingMemberToAllWithinTwoSeconds)
{
    FakeFleet fleet = convergedFleet(56);
    fleet.membership(7).setOwnState(1, 0, true);
    // Within this bound every router must know that a member is draining.
    fleet.run(2s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (const Member &member : fleet.membership(i).view())
            EXPECT_EQ(member.leaving, member.address == FakeFleet::address(7));
    }
}

TEST(Membership, SendsAtARateIndependentOfTheFleetSize)
{
    for (const std::size_t nodes : {14U, 56U, 112U}) {
        FakeFleet fleet = convergedFleet(nodes);
        fleet.run(60s);
        const std::size_t before = fleet.messages();
        fleet.run(60s);
        EXPECT_LE(fleet.messages() - before, nodes * 62);
    }
}

TEST(RumourBuffer, SendsEachABoundedNumberOfTimesLeastSentFirst)
{
    RumourBuffer buffer;
    buffer.add(1);
    EXPECT_EQ(buffer.take(1, 2), std::vector<std::uint64_t>{1});
    buffer.add(2);
    EXPECT_EQ(buffer.take(1, 2), std::vector<std::uint64_t>{2});
    EXPECT_FALSE(buffer.anySentFewerThan(1));
    EXPECT_EQ(buffer.take(5, 2).size(), 2U);
    EXPECT_TRUE(buffer.empty());
}

} // namespace almondmill::test
