// Guards the product's own interface to endpoints: an answer that stops, an error in place of a
// stream's continuation and a second copy of a refusal must not be taken for an answer.

#include "support/answertexts.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/relayharness.h"

#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attempthead.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/request/bufferedresponse.h"

#include <gtest/gtest.h>

#include <atomic>

namespace almondmill::test {

namespace {

constexpr std::size_t MaxBodyBytes = 10000;

AttemptRequest requestTo(const std::string &address, const std::string &id)
{
    AttemptRequest request;
    request.address = address;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = "body";
    request.attemptId = id;
    return request;
}

std::string headFor(const std::string &id, const std::string &statusLine,
                    const std::string &moreHeaders)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + AttemptIdHeader + ": " + id + "\r\n" + moreHeaders
           + "\r\n";
}

std::string answerFor(const std::string &id, const std::string &statusLine, const std::string &type,
                      const std::string &body)
{
    return headFor(id, statusLine,
                   "Content-Type: " + type + "\r\nContent-Length: " + std::to_string(body.size())
                           + "\r\n")
           + body;
}

/// Sends each attempt to one address, whatever endpoint was chosen.
class AttemptAt : public AttemptRunner
{
public:
    explicit AttemptAt(std::string address)
        : m_address(std::move(address))
    {}

    AttemptResult run(const AttemptRequest &request, AttemptObserver &observer) override
    {
        AttemptRequest moved = request;
        moved.address = m_address;
        return m_attempt.run(moved, observer);
    }

    void cancel() override { m_attempt.cancel(); }

private:
    std::string m_address;
    Attempt m_attempt;
};

/// What an endpoint answers when it is asked to continue a stream after event 2.
struct Continuation
{
    const char *name;
    std::string (*answer)(const std::string &id);
    bool isComplete;
};

const std::string EventStream = "text/event-stream";

const Continuation Continuations[] = {
        {"ServerError",
         [](const std::string &id) {
             return answerFor(id, "500 Internal Server Error", EventStream,
                              "id: 3\ndata: the error's text\n\n");
         },
         false},
        {"NotFound",
         [](const std::string &id) {
             return answerFor(id, "404 Not Found", "text/plain", "the error's text\n\n");
         },
         false},
        {"PlainText",
         [](const std::string &id) {
             return answerFor(id, "200 OK", "text/plain", eventText(3) + "the error's text\n\n");
         },
         false},
        {"HeadInTheBody",
         [](const std::string &id) {
             return answerFor(id, "200 OK", EventStream,
                              "HTTP/1.1 500 Oops\nX: y\n\nthe error's text\n\n");
         },
         false},
        {"OfAnotherAttempt",
         [](const std::string &) {
             return answerFor("other", "200 OK", EventStream, eventText(3));
         },
         false},
        {"Gap",
         [](const std::string &id) {
             return answerFor(id, "200 OK", EventStream, eventText(4) + "data: [DONE]\n\n");
         },
         false},
        {"Sound",
         [](const std::string &id) {
             return answerFor(id, "200 OK", EventStream,
                              eventText(2) + eventText(3) + "data: [DONE]\n\n");
         },
         true}};

class OwnStreams : public testing::TestWithParam<Continuation>
{};

} // namespace

// A client got an answer that had stopped in its head or body as a whole one.
TEST(OwnEndpoints, AnAnswerThatStopsAtAnyByteIsNotComplete)
{
    const std::string body = "{\"text\":\"whole\"}";
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string answers[] = {headFor("a1", "200 OK", length) + body,
                                   headFor("a1", "200 OK", "Transfer-Encoding: chunked\r\n")
                                           + chunkText(body) + LastChunkText};
    for (const std::string &answer : answers) {
        for (const bool isReset : {false, true}) {
            std::atomic<std::size_t> bytes{0};
            const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
                RawEndpoint::write(socket, answer.substr(0, bytes));
                if (isReset)
                    RawEndpoint::resetOnClose(socket);
            });
            for (; bytes < answer.size(); ++bytes) {
                Attempt attempt;
                BufferedResponse response("a1", MaxBodyBytes);
                const auto result = attempt.run(requestTo(endpoint.address(), "a1"), response);
                EXPECT_TRUE(std::holds_alternative<AttemptBroken>(result)) << bytes << answer;
            }
        }
    }
}

// A body without length that was cut by the end of its head counted as an empty answer.
TEST(OwnEndpoints, AnAnswerWithoutLengthThatStopsInItsHeadIsNotComplete)
{
    const std::string head = headFor("a1", "200 OK", "Content-Type: application/json\r\n");
    std::atomic<std::size_t> bytes{0};
    const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, head.substr(0, bytes));
    });
    for (; bytes < head.size(); ++bytes) {
        Attempt attempt;
        BufferedResponse response("a1", MaxBodyBytes);
        const auto result = attempt.run(requestTo(endpoint.address(), "a1"), response);
        EXPECT_TRUE(std::holds_alternative<AttemptBroken>(result)) << bytes;
    }
}

// Guards against an answer that is relayed though its status is none.
TEST(OwnEndpoints, AnAnswerWhoseStatusIsNoneIsBroken)
{
    for (const char *status : {"000 None", "001 None", "099 None", "600 None", "999 None"}) {
        const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
            RawEndpoint::write(socket, answerFor("a1", status, "text/plain", "text"));
        });
        Attempt attempt;
        BufferedResponse response("a1", MaxBodyBytes);
        const auto result = attempt.run(requestTo(endpoint.address(), "a1"), response);
        EXPECT_TRUE(std::holds_alternative<AttemptBroken>(result)) << status;
    }
}

// A refusal that was written once more on a kept connection answered the next request.
TEST(OwnEndpoints, ASecondCopyOfARefusalAnswersNoOtherRequest)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned before) {
        const std::string id = headerOf(call, AttemptIdHeader);
        const std::string full = answerFor("a1", "503 Service Unavailable", "text/plain", "full");
        if (before != 0) {
            RawEndpoint::write(socket, answerFor(id, "200 OK", "text/plain", "answer to " + id));
            return;
        }
        RawEndpoint::write(socket, full + full);
        EXPECT_EQ(RawEndpoint::readCall(socket), "");
    });
    for (const char *id : {"a1", "a2"}) {
        Attempt attempt;
        BufferedResponse response(id, MaxBodyBytes);
        const auto result = attempt.run(requestTo(endpoint.address(), id), response);
        EXPECT_TRUE(std::holds_alternative<AttemptCompleted>(result)) << id;
        EXPECT_EQ(response.head().attemptId, id);
    }
}

// An error's text came into a stream that had begun, or the stream ended as if it were complete.
TEST_P(OwnStreams, HoldEachEventOnceAndNothingElse)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        const std::string id = headerOf(call, AttemptIdHeader);
        const std::string begun = eventText(1) + eventText(2) + "id: 3\nda";
        const bool isContinued = call.starts_with("GET ");
        RawEndpoint::write(
                socket, isContinued ? GetParam().answer(id)
                                    : headFor(id, "200 OK", "Content-Type: " + EventStream + "\r\n")
                                              + begun);
    });
    const RelayHarness harness(1, [&] { return std::make_unique<AttemptAt>(endpoint.address()); });
    const std::string text = harness.readToEnd(false);
    for (int id = 1; id <= 2; ++id)
        EXPECT_EQ(countOf(text, "piece " + std::to_string(id)), 1U) << text;
    EXPECT_EQ(countOf(text, "HTTP/1.1"), 0U) << text;
    EXPECT_EQ(countOf(text, "the error's text"), 0U) << text;
    EXPECT_EQ(text.ends_with("data: [DONE]\n\n"), GetParam().isComplete) << text;
    EXPECT_EQ(countOf(text, "event: error"), GetParam().isComplete ? 0U : 1U) << text;
}

INSTANTIATE_TEST_SUITE_P(Answers, OwnStreams, testing::ValuesIn(Continuations),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

} // namespace almondmill::test
