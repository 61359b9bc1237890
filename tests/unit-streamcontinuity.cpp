#include "almondmill/forward/streamcontinuity.h"
#include "almondmill/request/eventsplitter.h"

#include <gtest/gtest.h>

#include <string>

namespace almondmill::test {

namespace {

using Verdict = StreamContinuity::Verdict;

Verdict record(StreamContinuity &continuity, const std::string &text)
{
    return continuity.recordEvent(parseStreamEvent(text + "\n\n"));
}

} // namespace

TEST(StreamContinuity, TheFirstAttemptIsNotChecked)
{
    StreamContinuity continuity;
    for (const char *event : {"id: 7\ndata: a", "id: 3\ndata: b", "data: c", ":"})
        EXPECT_EQ(record(continuity, event), Verdict::Relay);
}

TEST(StreamContinuity, RepeatsAreDroppedAndGapsEndAResumedAttempt)
{
    StreamContinuity continuity;
    record(continuity, "id: 1\ndata: a");
    record(continuity, "id: 2\ndata: b");
    continuity.resume(2);
    EXPECT_EQ(record(continuity, ": comment"), Verdict::Relay);
    EXPECT_EQ(record(continuity, "data: an error"), Verdict::Break);
    EXPECT_EQ(record(continuity, "id: 2\ndata: b"), Verdict::Repeat);
    EXPECT_EQ(record(continuity, "id: 4\ndata: d"), Verdict::Break);
    EXPECT_EQ(record(continuity, "id: 3\ndata: c"), Verdict::Relay);
    EXPECT_EQ(record(continuity, "data: [DONE]"), Verdict::Relay);
}

TEST(StreamContinuity, GapsAreNoneWhereIdsWereNotConsecutive)
{
    StreamContinuity continuity;
    for (const char *event : {"id: 10\ndata: a", "id: 20\ndata: b", "id: 21\ndata: c"})
        record(continuity, event);
    continuity.resume(21);
    EXPECT_EQ(record(continuity, "id: 40\ndata: d"), Verdict::Relay);
}

// Ids only need to increase. After a single event a continuation was rejected unless its first id
// was one above.
TEST(StreamContinuity, TheStepBetweenIdsIsUnknownAfterASingleEvent)
{
    StreamContinuity continuity;
    record(continuity, "id: 10\ndata: a");
    continuity.resume(10);
    EXPECT_EQ(record(continuity, "id: 20\ndata: b"), Verdict::Relay);
    EXPECT_EQ(record(continuity, "id: 30\ndata: c"), Verdict::Relay);
}

// The events of a continuation show the step as well; a gap in them or in the next continuation
// must not pass because the first endpoint sent a single event.
TEST(StreamContinuity, AContinuationShowsTheStepAfterASingleEvent)
{
    for (const bool isResumedAgain : {false, true}) {
        StreamContinuity continuity;
        for (const char *event : {"id: 1\ndata: a", "id: 2\ndata: b", "id: 3\ndata: c"}) {
            EXPECT_EQ(record(continuity, event), Verdict::Relay);
            if (std::string(event).starts_with("id: 1"))
                continuity.resume(1);
        }
        if (isResumedAgain)
            continuity.resume(3);
        EXPECT_EQ(record(continuity, "id: 5\ndata: e"), Verdict::Break);
    }
}

// An event that sets only the time of a reconnection ended a continuation.
TEST(StreamContinuity, EventsThatOnlyControlTheStreamCarryNoPieceOfIt)
{
    StreamContinuity continuity;
    record(continuity, "id: 1\ndata: a");
    continuity.resume(1);
    EXPECT_EQ(record(continuity, "retry: 500"), Verdict::Relay);
    EXPECT_EQ(record(continuity, "event: ping"), Verdict::Relay);
    EXPECT_EQ(record(continuity, "event: ping\nan error"), Verdict::Break);
    EXPECT_EQ(record(continuity, "HTTP/1.1 500 Oops"), Verdict::Break);
    EXPECT_EQ(record(continuity, "data: an error"), Verdict::Break);
}

TEST(StreamContinuity, OnlyAfterDataWithAnIdAStreamCanBeResumed)
{
    StreamContinuity continuity;
    EXPECT_TRUE(continuity.canResume());
    record(continuity, "data: a");
    EXPECT_FALSE(continuity.canResume());
    record(continuity, "id: 2\ndata: b");
    record(continuity, ": comment");
    EXPECT_TRUE(continuity.canResume());
}

TEST(EventSplitter, OnlyFieldsAndIncompleteLinesAreInsideAnEvent)
{
    const auto isInside = [](const std::string &text) {
        EventSplitter splitter;
        splitter.feed("id: 1\ndata: a\n\n" + text);
        return splitter.isInsideEvent();
    };
    for (const char *text : {"", "\n", "\r\n", ": comment\n", ": comment\r\n"})
        EXPECT_FALSE(isInside(text)) << text;
    for (const char *text : {"i", "id: 2\n", "id: 2\r\n\r", ": com", ": comment\nda", "\r"})
        EXPECT_TRUE(isInside(text)) << text;
}

} // namespace almondmill::test
