#include "almondmill/endpoint/endpointstatustracker.h"
#include "almondmill/endpoint/endpointtable.h"
#include "almondmill/endpoint/proberchoice.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/store/vm.h"

#include <gtest/gtest.h>

namespace almondmill::test {

using namespace std::chrono_literals;

namespace {

const SteadyTime Start{std::chrono::hours(1)};

EndpointStatus serving(std::uint64_t incarnation)
{
    return {incarnation, 5, 0, false};
}

EndpointStatus leaving(std::uint64_t incarnation)
{
    return {incarnation, 5, 0, true};
}

/// A configuration with one endpoint "e1" at 10.0.0.1:8000, and the tracker of its status.
class EndpointStatusTracking : public testing::Test
{
protected:
    EndpointStatusTracking() { apply(1, false); }

    void apply(std::uint64_t version, bool inventoryLeaving)
    {
        Endpoint endpoint;
        endpoint.name = "e1";
        endpoint.address = "10.0.0.1:8000";
        endpoint.model = "reed";
        endpoint.leaving = inventoryLeaving;
        Inventory inventory;
        inventory.endpoints = {endpoint};
        m_table.apply(std::make_shared<const Configuration>(version, inventory, Rules{}));
        m_tracker.refresh(Start);
    }

    EndpointRumour rumour(std::uint64_t revision, EndpointCondition condition) const
    {
        EndpointRumour rumour;
        rumour.nameHash = m_key;
        rumour.incarnation = 1;
        rumour.revision = revision;
        rumour.condition = condition;
        return rumour;
    }

    std::shared_ptr<EndpointState> state() const { return m_table.snapshot()->all().front(); }
    bool takesWork() const { return state()->takesWork(Start); }

    const std::uint64_t m_key = hash64("e1");
    EndpointTable m_table;
    EndpointStatusTracker m_tracker{m_table};
};

std::vector<Member> members(std::size_t count)
{
    std::vector<Member> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({"r" + std::to_string(i), i % 2 == 0 ? "a" : "b", 1, 0, false});
    return list;
}

} // namespace

TEST_F(EndpointStatusTracking, StopsNewWorkWhenTheEndpointReportsLeaving)
{
    m_tracker.recordProbe(m_key, leaving(1), Start);
    EXPECT_FALSE(takesWork());
    m_tracker.recordProbe(m_key, serving(1), Start);
    EXPECT_TRUE(takesWork());
}

TEST_F(EndpointStatusTracking, StopsNewWorkWhenTheVmListMarksLeavingWhateverTheEndpointReports)
{
    m_tracker.applyVms({{"10.0.0.1", true}}, Start);
    EXPECT_FALSE(takesWork());
    m_tracker.recordProbe(m_key, serving(1), Start);
    EXPECT_FALSE(takesWork());
    m_tracker.applyVms({{"10.0.0.1", false}}, Start);
    EXPECT_TRUE(takesWork());
}

TEST_F(EndpointStatusTracking, CountsAnEndpointAsUnreachableAfterTwoUnansweredProbes)
{
    m_tracker.recordProbe(m_key, std::nullopt, Start);
    EXPECT_TRUE(takesWork());
    m_tracker.recordProbe(m_key, std::nullopt, Start);
    EXPECT_FALSE(takesWork());
    m_tracker.recordProbe(m_key, serving(1), Start);
    EXPECT_TRUE(takesWork());
}

TEST_F(EndpointStatusTracking, AppliesOnlyHigherRevisions)
{
    m_tracker.apply({rumour(5, EndpointCondition::Leaving)}, Start);
    EXPECT_FALSE(takesWork());
    m_tracker.apply({rumour(4, EndpointCondition::Serving)}, Start);
    EXPECT_FALSE(takesWork());
    m_tracker.apply({rumour(6, EndpointCondition::Serving)}, Start);
    EXPECT_TRUE(takesWork());
}

TEST_F(EndpointStatusTracking, KeepsBothReasonsWhenTwoObserversRaiseTheSameRevision)
{
    m_tracker.recordProbe(m_key, leaving(1), Start);
    EndpointRumour other = rumour(1, EndpointCondition::Serving);
    other.vmLeaving = true;
    m_tracker.apply({other}, Start);
    ASSERT_EQ(m_tracker.all().size(), 1U);
    EXPECT_TRUE(m_tracker.all()[0].vmLeaving);
    EXPECT_EQ(m_tracker.all()[0].condition, EndpointCondition::Leaving);
}

TEST_F(EndpointStatusTracking, SlowStartsAnEndpointThatReturnsToService)
{
    m_tracker.recordProbe(m_key, serving(1), Start);
    EXPECT_EQ(state()->slowStartFactor(Start), 1);
    m_tracker.recordProbe(m_key, leaving(1), Start);
    m_tracker.recordProbe(m_key, serving(1), Start);
    EXPECT_EQ(state()->slowStartFactor(Start), 0);
    EXPECT_DOUBLE_EQ(state()->slowStartFactor(Start + EndpointState::SlowStartDuration / 2), 0.5);
    EXPECT_EQ(state()->slowStartFactor(Start + EndpointState::SlowStartDuration), 1);
}

TEST_F(EndpointStatusTracking, SlowStartsAnEndpointThatTheInventoryNoLongerMarksLeaving)
{
    apply(2, true);
    apply(3, false);
    EXPECT_EQ(state()->slowStartFactor(Start), 0);
}

TEST_F(EndpointStatusTracking, SlowStartsARestartedEndpoint)
{
    m_tracker.recordProbe(m_key, serving(1), Start);
    m_tracker.recordProbe(m_key, serving(2), Start);
    EXPECT_EQ(state()->incarnation(), 2U);
    EXPECT_EQ(state()->slowStartFactor(Start), 0);
}

TEST_F(EndpointStatusTracking, SendsOnlyChangesAndEachABoundedNumberOfTimes)
{
    m_tracker.recordProbe(m_key, leaving(1), Start);
    EXPECT_TRUE(m_tracker.urgent());
    std::size_t sent = 0;
    while (!m_tracker.take(320).empty())
        ++sent;
    EXPECT_EQ(sent, 27U);
    m_tracker.recordProbe(m_key, leaving(1), Start);
    EXPECT_TRUE(m_tracker.take(320).empty());
}

TEST(EndpointStatusProbers, AreTwoOfTheEndpointsDataCentre)
{
    const auto all = members(20);
    std::size_t probers = 0;
    for (const Member &member : all) {
        const auto place = proberSlot(99, "b", member.address, all);
        probers += place ? 1 : 0;
        EXPECT_TRUE(!place || member.dataCentre == "b");
    }
    EXPECT_EQ(probers, ProbersPerEndpoint);
}

TEST(EndpointStatusProbers, AreOfAnyDataCentreWhereItsOwnHasNone)
{
    const auto all = members(3);
    std::size_t probers = 0;
    for (const Member &member : all)
        probers += proberSlot(99, "c", member.address, all) ? 1 : 0;
    EXPECT_EQ(probers, ProbersPerEndpoint);
}

TEST(EndpointStatusProbers, AlternateByTheWallClock)
{
    const WallTime now{123456789ms};
    const auto first = timeUntilNextSlot(99, {0, 2}, now);
    const auto second = timeUntilNextSlot(99, {1, 2}, now);
    EXPECT_EQ(std::chrono::abs(first - second), StatusInterval);
}

} // namespace almondmill::test
