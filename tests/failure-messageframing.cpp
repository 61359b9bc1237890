// Guards where the body of a message ends: a request whose length can't be determined, or that
// another reader could cut elsewhere, must not leave bytes that are taken for the next request.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/routerprocess.h"
#include "support/site.h"

#include "almondmill/endpoint/attempt.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/endpoint/headernames.h"
#include "almondmill/http/httphead.h"
#include "almondmill/http/messageframing.h"
#include "almondmill/request/bufferedresponse.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace almondmill::test {

namespace {

/// Header lines of a request with a body and the status that refuses it.
struct RefusedFraming
{
    int status;
    int version;
    std::string lines;
};

std::string coding(const std::string &value)
{
    return "Transfer-Encoding: " + value + "\r\n";
}

std::vector<RefusedFraming> refusedFramings()
{
    return {{400, 11, coding("gzip")},
            {400, 11, coding("identity")},
            {400, 11, coding("x-packed")},
            {400, 11, coding("chunked, identity")},
            {400, 11, coding("chunked") + coding("gzip")},
            {400, 11, coding("chunked, chunked")},
            {400, 11, coding("chunked") + coding("chunked")},
            {400, 11, coding("xchunked")},
            {400, 11, coding("\"chunked\"")},
            {400, 11, coding("chunked;level=1")},
            {400, 11, coding("chunked,")},
            {400, 11, coding(",")},
            {400, 11, coding("gzip") + "Content-Length: 4\r\n"},
            {400, 11, "Content-Length: 4\r\n" + coding("gzip")},
            {400, 11, "Content-Length: 4\r\n" + coding("chunked")},
            {400, 10, coding("chunked")},
            {501, 11, coding("gzip, chunked")},
            {501, 11, coding("gzip") + coding("chunked")}};
}

std::string versionText(int version)
{
    return version == 10 ? " HTTP/1.0\r\n" : " HTTP/1.1\r\n";
}

/// A request that no client sends by itself: it stands in the body of another one.
const std::string InnerRequest = "POST /once/never-asked-for HTTP/1.1\r\nHost: h\r\n"
                                 "Request-Id: inner\r\nAuthorization: Bearer k1\r\n"
                                 "Content-Length: 0\r\n\r\n";

std::string outerRequest(const RefusedFraming &framing)
{
    return "POST /once/x" + versionText(framing.version)
           + "Host: h\r\nRequest-Id: outer\r\nAuthorization: Bearer k1\r\n" + framing.lines
           + "\r\n";
}

RawEndpoint::Behaviour answerAll()
{
    return [](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "done", "Connection: close\r\n"));
    };
}

HttpHead headWith(int version, const std::vector<HttpField> &fields)
{
    HttpHead head;
    head.version = version;
    for (const HttpField &field : fields)
        head.fields.add(field.name, field.value);
    return head;
}

} // namespace

// The body of a request in an unknown transfer coding ran as a request that no client had sent.
TEST(MessageFraming, ABodyWhoseLengthIsUnknownIsNoRequest)
{
    for (const RefusedFraming &framing : refusedFramings()) {
        SCOPED_TRACE(framing.lines);
        const RawEndpoint endpoint(answerAll());
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", endpoint.address());
        const std::string answer = sendRequest(harness, outerRequest(framing) + InnerRequest);
        EXPECT_TRUE(hasStatus(answer, framing.status)) << answer;
        EXPECT_EQ(headerOf(answer, "Connection"), "close") << answer;
        EXPECT_EQ(countOf(answer, "HTTP/1.1"), 1U) << answer;
        EXPECT_EQ(endpoint.calls(), 0U);
    }
}

// A stricter reader must not refuse what sound clients send.
TEST(MessageFraming, ChunkedBodiesAreServedInAnySpelling)
{
    for (const char *spelling : {"chunked", "Chunked", "CHUNKED", "\tchunked "}) {
        const RawEndpoint endpoint(answerAll());
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", endpoint.address());
        const std::string answer =
                sendRequest(harness, outerRequest({0, 11, coding(spelling)})
                                             + "4;name=value\r\nbody\r\n0\r\nTrailer: x\r\n\r\n");
        EXPECT_TRUE(hasStatus(answer, 200)) << spelling << answer;
        EXPECT_EQ(endpoint.calls(), 1U);
    }
}

// The bytes of an answer in an unknown transfer coding were passed on without the coding's name.
TEST(MessageFraming, AnAnswerInAnUnknownCodingIsAnError)
{
    const std::vector<std::string> lines{coding("gzip"), coding("gzip, chunked"),
                                         coding("chunked, gzip"),
                                         coding("gzip") + "Content-Length: 4\r\n"};
    for (const std::string &framing : lines) {
        SCOPED_TRACE(framing);
        const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
            RawEndpoint::write(socket,
                               signedHead(call, framing) + chunkText("packed") + LastChunkText);
        });
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", endpoint.address());
        const std::string answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
        EXPECT_TRUE(hasStatus(answer, 502)) << answer;
        EXPECT_EQ(countOf(answer, "packed"), 0U) << answer;
    }
}

// The obsolete name for no coding still means a body that ends with its connection.
TEST(MessageFraming, AnAnswerWithoutCodingEndsWithItsConnection)
{
    const RawEndpoint endpoint([](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, signedHead(call, coding("identity")) + "whole");
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const std::string answer = sendRequest(harness, requestText("POST", "/once/x", {}, "body"));
    EXPECT_TRUE(hasStatus(answer, 200)) << answer;
    EXPECT_TRUE(answer.ends_with("whole")) << answer;
}

TEST(MessageFraming, IsDeterminedByTheWholeHead)
{
    EXPECT_EQ(framingOfRequest(headWith(11, {})), MessageFraming::None);
    EXPECT_EQ(framingOfAnswer(headWith(11, {})), MessageFraming::UntilClose);
    const HttpHead length = headWith(10, {{"content-length", "4"}});
    EXPECT_EQ(framingOfRequest(length), MessageFraming::Length);
    EXPECT_EQ(framingOfAnswer(length), MessageFraming::Length);
    const HttpHead chunked = headWith(11, {{"transfer-encoding", "Chunked"}});
    EXPECT_EQ(framingOfRequest(chunked), MessageFraming::Chunked);
    EXPECT_EQ(framingOfAnswer(chunked), MessageFraming::Chunked);
    const HttpHead empty = headWith(11, {{"Transfer-Encoding", ""}});
    EXPECT_EQ(framingOfRequest(empty), MessageFraming::Ambiguous);
    EXPECT_EQ(framingOfAnswer(empty), MessageFraming::Ambiguous);
    const HttpHead identity = headWith(11, {{"Transfer-Encoding", "identity"}});
    EXPECT_EQ(framingOfRequest(identity), MessageFraming::Ambiguous);
    EXPECT_EQ(framingOfAnswer(identity), MessageFraming::UntilClose);
}

// On the product's own interface the body of a GET was read as the next request.
TEST(MessageFraming, TheOwnInterfaceTakesNoBodyForARequest)
{
    Site site(1, 1);
    RouterProcess router(site.platformUrl());
    ASSERT_TRUE(router.waitUntilReady());
    const std::string inner = CompletionOrder().body();
    const std::string fields =
            std::string("Host: router\r\nAuthorization: Bearer ") + ApiKey + "\r\n";
    const std::string innerRequest = "POST /v1/completions HTTP/1.1\r\n" + fields
                                     + "Content-Length: " + std::to_string(inner.size())
                                     + "\r\n\r\n" + inner;
    const std::string length = "Content-Length: " + std::to_string(innerRequest.size()) + "\r\n";
    std::vector<std::string> requests;
    for (const RefusedFraming &framing : refusedFramings())
        requests.push_back("POST /v1/completions" + versionText(framing.version) + fields
                           + framing.lines);
    requests.push_back("GET /v1/models HTTP/1.1\r\n" + fields + length);
    requests.push_back("GET /v1/models HTTP/1.1\r\n" + fields + coding("chunked"));
    for (const std::string &request : requests) {
        SCOPED_TRACE(request);
        const RawCaller caller(router.callersUrl());
        caller.send(request);
        caller.send("\r\n");
        caller.send(innerRequest);
        const std::string answer = caller.readToEnd();
        EXPECT_TRUE(hasStatus(answer, 400) || hasStatus(answer, 501)) << answer;
        EXPECT_EQ(countOf(answer, "HTTP/1.1"), 1U) << answer;
    }
    EXPECT_EQ(site.engine(0).started(), 0U);
}

// The product's client took the packed bytes of an unknown coding for the body.
TEST(MessageFraming, TheOwnClientFailsForAnAnswerInAnUnknownCoding)
{
    for (const std::string &framing :
         {coding("gzip, chunked"), coding("gzip"), coding("xchunked"), coding("chunked, gzip")}) {
        const RawEndpoint endpoint([&](int socket, const std::string &, unsigned) {
            RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\n" + std::string(AttemptIdHeader)
                                               + ": a1\r\n" + framing + "\r\n" + chunkText("packed")
                                               + LastChunkText);
        });
        AttemptRequest request;
        request.address = endpoint.address();
        request.method = "POST";
        request.path = "/v1/completions";
        request.body = "body";
        request.attemptId = "a1";
        Attempt attempt;
        BufferedResponse response("a1", 1000);
        EXPECT_TRUE(std::holds_alternative<AttemptBroken>(attempt.run(request, response)))
                << framing;
    }
}

} // namespace almondmill::test
