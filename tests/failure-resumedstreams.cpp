// Guards streams that broke off after they had begun: whatever the next endpoint answers, the
// caller's stream holds each event once and in order, nothing else, and it looks complete only when
// it is.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

/// What the endpoint that resumes the stream after event 2 answers, and what the caller gets.
struct Resumption
{
    const char *name;
    std::string (*answer)(const std::string &call);
    std::size_t events;
    bool isComplete;
};

std::string framed(const std::string &head, const std::string &body)
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string errorAnswer(const std::string &call, const std::string &statusLine,
                        const std::string &moreHeaders = {})
{
    return signedAnswer(call, statusLine, "id: 3\ndata: the error's text\n\n", moreHeaders);
}

std::string okAnswer(const std::string &call, const std::string &type, const std::string &body)
{
    return signedAnswer(call, "200 OK", body, "Content-Type: " + type + "\r\n");
}

std::string events(const std::string &call, const std::string &body)
{
    return streamAnswer(call, body, Framing::Chunked);
}

const Resumption Resumptions[] = {
        {"BadRequest", [](const std::string &call) { return errorAnswer(call, "400 Bad Request"); },
         2, false},
        {"NotFound", [](const std::string &call) { return errorAnswer(call, "404 Not Found"); }, 2,
         false},
        {"NotExecuted400",
         [](const std::string &call) {
             return errorAnswer(call, "400 Bad Request", "Not-Executed: 1\r\n");
         },
         2, false},
        {"Misdirected",
         [](const std::string &call) { return errorAnswer(call, "421 Misdirected Request"); }, 2,
         false},
        {"TooManyRequests",
         [](const std::string &call) { return errorAnswer(call, "429 Too Many Requests"); }, 2,
         false},
        {"ServerError",
         [](const std::string &call) { return errorAnswer(call, "500 Internal Server Error"); }, 2,
         false},
        {"Full",
         [](const std::string &call) {
             return errorAnswer(call, "503 Service Unavailable", "Not-Executed: 1\r\n");
         },
         2, false},
        {"Redirect",
         [](const std::string &call) {
             return errorAnswer(call, "307 Temporary Redirect", "Location: /other\r\n");
         },
         2, false},
        {"NoContent",
         [](const std::string &call) {
             return "HTTP/1.1 204 No Content\r\nRequest-Id: " + headerOf(call, "Request-Id")
                    + "\r\nServer-Signature: s1\r\n\r\n";
         },
         2, false},
        {"Accepted", [](const std::string &call) { return errorAnswer(call, "202 Accepted"); }, 2,
         false},
        {"PlainText",
         [](const std::string &call) { return okAnswer(call, "text/plain", eventText(3)); }, 2,
         false},
        {"Json",
         [](const std::string &call) {
             return okAnswer(call, "application/json", "{\"error\":\"full\"}\n\n");
         },
         2, false},
        {"NoEventsInTheBody",
         [](const std::string &call) {
             return okAnswer(call, "text/event-stream", "HTTP/1.1 500 Oops\n\nan error\n\n");
         },
         2, false},
        {"DataWithoutId",
         [](const std::string &call) { return events(call, "data: an error\n\n"); }, 2, false},
        {"Unsigned",
         [](const std::string &call) {
             return framed("HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(call, "Request-Id")
                                   + "\r\nContent-Type: text/event-stream\r\n",
                           eventText(3));
         },
         2, false},
        {"Encoded",
         [](const std::string &call) {
             return signedAnswer(call, "200 OK", eventText(3),
                                 "Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n");
         },
         2, false},
        {"NoEventWithoutFraming",
         [](const std::string &call) { return streamAnswer(call, {}, Framing::UntilClose); }, 2,
         false},
        {"Skips", [](const std::string &call) { return events(call, eventText(4)); }, 2, false},
        {"SkipsLater",
         [](const std::string &call) { return events(call, eventText(3) + eventText(5)); }, 3,
         false},
        {"Length",
         [](const std::string &call) {
             return streamAnswer(call, eventText(3) + eventText(4), Framing::Length);
         },
         4, true},
        {"UntilClose",
         [](const std::string &call) {
             return streamAnswer(call, eventText(3) + eventText(4), Framing::UntilClose);
         },
         4, true},
        {"RepeatsTheLast",
         [](const std::string &call) {
             return events(call, eventText(2) + eventText(3) + eventText(4));
         },
         4, true},
        {"RepeatsAll",
         [](const std::string &call) {
             return events(call, eventText(1) + eventText(2) + eventText(3) + eventText(4));
         },
         4, true},
        {"RepeatsLater",
         [](const std::string &call) {
             return events(call, eventText(3) + eventText(3) + eventText(4));
         },
         4, true},
        {"RetryTimeFirst",
         [](const std::string &call) {
             return events(call, "retry: 500\n\n" + eventText(3) + eventText(4));
         },
         5, true},
        {"RepeatsOnlyUntilClose",
         [](const std::string &call) {
             return streamAnswer(call, eventText(1) + eventText(2), Framing::UntilClose);
         },
         2, true},
        {"RepeatsTheFirstOnly", [](const std::string &call) { return events(call, eventText(1)); },
         2, false},
        {"RepeatsTheFirstOnlyUntilClose",
         [](const std::string &call) {
             return streamAnswer(call, eventText(1), Framing::UntilClose);
         },
         2, false},
        {"EndMarkerAfterTheFirst",
         [](const std::string &call) { return events(call, eventText(1) + "data: [DONE]\n\n"); }, 2,
         false},
        {"RepeatsTheFirstAfterTheThird",
         [](const std::string &call) { return events(call, eventText(3) + eventText(1)); }, 3,
         true},
        {"EndMarker", [](const std::string &call) { return events(call, "data: [DONE]\n\n"); }, 3,
         true},
        {"NoMoreEvents", [](const std::string &call) { return events(call, {}); }, 2, true}};

/// Time in which an endpoint must continue a stream. The router searches until it has passed, so a
/// stream that both endpoints refuse to continue ends only then.
constexpr const char *ShortDeadline = "Deadline-Ms: 3000\r\n";

class ResumedStream : public testing::TestWithParam<Resumption>
{};

/// Breaks off after two events and in the third; continues streams as `resume` says.
RawEndpoint::Behaviour breakingOff(std::string (*resume)(const std::string &))
{
    return [=](int socket, const std::string &call, unsigned) {
        const std::string begun = eventText(1) + eventText(2) + "id: 3\nda";
        const bool isResumed = headerOf(call, "Last-Event-Id") == "2";
        RawEndpoint::write(socket, isResumed ? resume(call)
                                             : streamAnswer(call, begun, Framing::UntilClose));
    };
}

} // namespace

// An error's head and body came into a stream that had begun, and what no event stream was, or
// skipped or repeated events, was joined to it.
TEST_P(ResumedStream, HoldsEachEventOnceAndNothingElse)
{
    const Resumption &resumption = GetParam();
    const RawEndpoint first(breakingOff(resumption.answer));
    const RawEndpoint second(breakingOff(resumption.answer));
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", first.address(), 1);
    harness.addEndpoint("e2", "resume", second.address(), 1);
    const std::string answer =
            sendRequest(harness, requestText("POST", "/resume/x", ShortDeadline));
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_EQ(countOf(answer, "HTTP/1.1"), 1U) << answer;
    EXPECT_EQ(countOf(answer, "error"), 0U) << answer;
    EXPECT_EQ(eventCount(answer), resumption.events) << answer;
    for (int id = 1; id <= 2; ++id)
        EXPECT_EQ(countOf(answer, "piece " + std::to_string(id)), 1U) << answer;
    EXPECT_EQ(endsWithLastChunk(answer), resumption.isComplete) << answer;
}

INSTANTIATE_TEST_SUITE_P(Answers, ResumedStream, testing::ValuesIn(Resumptions),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

// A stream whose events have no ids was begun anew within the same answer.
TEST(ResumedStreams, AStreamWithoutEventIdsIsNotBegunAnewWithinAnAnswer)
{
    const auto breakOff = [](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, streamAnswer(call, "data: one\n\ndata: t", Framing::UntilClose));
    };
    const RawEndpoint first(breakOff);
    const RawEndpoint second(breakOff);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", first.address(), 1);
    harness.addEndpoint("e2", "resume", second.address(), 1);
    const std::string answer = sendRequest(harness, requestText("POST", "/resume/x"));
    EXPECT_EQ(countOf(answer, "data: one"), 1U) << answer;
    EXPECT_FALSE(endsWithLastChunk(answer)) << answer;
    EXPECT_EQ(first.calls() + second.calls(), 1U);
}

TEST(ResumedStreams, IdsThatIncreaseByMoreThanOneMayBeResumed)
{
    const auto answer = [](int socket, const std::string &call, unsigned) {
        const bool isResumed = headerOf(call, "Last-Event-Id") == "20";
        const std::string begun = eventText(10) + eventText(20) + "id: 3";
        RawEndpoint::write(
                socket, streamAnswer(call, isResumed ? eventText(30) : begun, Framing::UntilClose));
    };
    const RawEndpoint first(answer);
    const RawEndpoint second(answer);
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "resume", first.address(), 1);
    harness.addEndpoint("e2", "resume", second.address(), 1);
    const std::string got = sendRequest(harness, requestText("POST", "/resume/x"));
    EXPECT_EQ(eventCount(got), 3U) << got;
    EXPECT_TRUE(endsWithLastChunk(got)) << got;
}

} // namespace almondmill::test
