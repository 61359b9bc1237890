// Decisions from what an endpoint states about itself: that it leaves, or that it wants a pause.

#include "almondmill/forward/endpointavailability.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <optional>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr SteadyTime Start{std::chrono::hours(1)};

template<typename State>
bool is(const EndpointAvailability &availability, SteadyTime now)
{
    return std::holds_alternative<State>(availability.stateAt(now));
}

} // namespace

// A leaving endpoint may still be used when it is the only one, but not in its pause.
TEST(EndpointAvailability, LeavingIsForGoodAndAPauseHoldsMeanwhile)
{
    EndpointAvailability availability;
    EXPECT_TRUE(is<Available>(availability, Start));
    availability.recordPause(seconds(1), Start);
    EXPECT_TRUE(availability.recordLeaving(Start));
    EXPECT_FALSE(availability.recordLeaving(Start + seconds(1)));
    EXPECT_TRUE(is<Paused>(availability, Start + milliseconds(999)));
    EXPECT_TRUE(is<Leaving>(availability, Start + seconds(1)));
    EXPECT_EQ(std::get<Leaving>(availability.stateAt(Start + std::chrono::hours(9))).since, Start);
}

TEST(EndpointAvailability, AShorterPauseDoesNotShortenTheRunningOne)
{
    EndpointAvailability availability;
    EXPECT_TRUE(availability.recordPause(seconds(4), Start));
    EXPECT_FALSE(availability.recordPause(seconds(1), Start + seconds(1)));
    EXPECT_FALSE(availability.recordPause(milliseconds(0), Start + seconds(1)));
    EXPECT_TRUE(is<Paused>(availability, Start + milliseconds(3999)));
    EXPECT_FALSE(is<Paused>(availability, Start + seconds(4)));
    EXPECT_TRUE(availability.recordPause(seconds(1), Start + seconds(4)));
    EXPECT_TRUE(is<Paused>(availability, Start + milliseconds(4999)));
}

TEST(EndpointAvailability, PausesWithoutLengthHaveNoEffectAndLongOnesAreBounded)
{
    EndpointAvailability availability;
    EXPECT_FALSE(availability.recordPause(milliseconds(0), Start));
    EXPECT_FALSE(availability.recordPause(milliseconds(-5), Start));
    EXPECT_TRUE(is<Available>(availability, Start));
    availability.recordPause(milliseconds::max(), Start);
    EXPECT_EQ(std::get<Paused>(availability.stateAt(Start)).until,
              Start + EndpointAvailability::MaxPause);
}

TEST(EndpointAvailability, TheBoundAfterAPauseGrowsInSteps)
{
    EndpointAvailability availability;
    availability.recordPause(seconds(1), Start);
    const auto end = Start + seconds(1);
    std::uint32_t before = 0;
    for (SteadyTime now = end; now < end + EndpointAvailability::ResumeTime;) {
        const auto resuming = std::get<Resuming>(availability.stateAt(now));
        EXPECT_GT(resuming.maxOpenRequests, before);
        EXPECT_GT(resuming.nextStepAt, now);
        before = resuming.maxOpenRequests;
        now = resuming.nextStepAt;
    }
    EXPECT_TRUE(is<Available>(availability, end + EndpointAvailability::ResumeTime));
}

// Guards against an endpoint that gets nothing after its pause while long streams from before run.
TEST(EndpointAvailability, TheBoundAfterAPauseDoesNotIncludeRequestsFromBefore)
{
    constexpr std::uint32_t RunningStreams = 30;
    EndpointAvailability availability;
    availability.recordPause(seconds(1), Start);
    availability.recordOpenRequests(200, Start);
    const auto end = Start + seconds(1);
    availability.recordOpenRequests(RunningStreams, end);
    availability.recordOpenRequests(RunningStreams + 2, end + milliseconds(1));
    EXPECT_EQ(std::get<Resuming>(availability.stateAt(end)).maxOpenRequests, RunningStreams + 2);
    availability.recordPause(seconds(1), end);
    availability.recordOpenRequests(0, end + seconds(1));
    EXPECT_EQ(std::get<Resuming>(availability.stateAt(end + seconds(1))).maxOpenRequests, 2U);
}

TEST(EndpointAvailability, AnEndedPauseIsReportedOnceWithWhatWasWithheld)
{
    EndpointAvailability availability;
    availability.recordWithheld();
    EXPECT_FALSE(availability.takeEndedPause(Start));
    availability.recordPause(seconds(1), Start);
    availability.recordWithheld();
    availability.recordWithheld();
    EXPECT_FALSE(availability.takeEndedPause(Start + milliseconds(999)));
    EXPECT_EQ(availability.takeEndedPause(Start + seconds(1)), 2U);
    EXPECT_FALSE(availability.takeEndedPause(Start + seconds(1)));
    EXPECT_EQ(availability.withheld(), 3U);
}

// Against the list of all statements: an endpoint is paused exactly while one of them runs,
// whatever their order and lengths, and leaves from the first announcement on except while it is
// paused.
RC_GTEST_PROP(EndpointAvailabilityProperty, EachStatementHoldsForItsWholeTime, ())
{
    EndpointAvailability availability;
    SteadyTime now = Start;
    SteadyTime pausedUntil = Start;
    std::optional<SteadyTime> leavingSince;
    const auto events = *rc::gen::inRange(1, 60);
    for (int event = 0; event < events; ++event) {
        now += milliseconds(*rc::gen::inRange(0, 3000));
        const auto length = milliseconds(*rc::gen::inRange(-1000, 5000));
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            availability.recordLeaving(now);
            leavingSince = leavingSince.value_or(now);
            break;
        case 1:
        case 2:
        case 3:
            availability.recordPause(length, now);
            if (length > milliseconds(0))
                pausedUntil = std::max(pausedUntil, now + length);
            break;
        default:
            availability.recordWithheld();
        }
        const Availability state = availability.stateAt(now);
        RC_ASSERT(availability.isLeaving() == leavingSince.has_value());
        RC_ASSERT(std::holds_alternative<Paused>(state) == (now < pausedUntil));
        if (leavingSince) {
            if (now >= pausedUntil)
                RC_ASSERT(std::get<Leaving>(state).since == *leavingSince);
            continue;
        }
        const auto ended = now - pausedUntil;
        const bool isResuming = pausedUntil > Start && ended >= milliseconds(0)
                                && ended < EndpointAvailability::ResumeTime;
        RC_ASSERT(std::holds_alternative<Resuming>(state) == isResuming);
    }
}

} // namespace almondmill::test
