// Guards against streams that hold events from endpoints of two software versions.

#include "support/answertexts.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <string>

namespace almondmill::test {

namespace {

/// An event whose data names the version that wrote it.
std::string eventOf(const std::string &version, unsigned id)
{
    return "id: " + std::to_string(id) + "\ndata: by " + version + "\n\n";
}

/// Answers of an endpoint that breaks off each new stream after two events and completes each one
/// that is taken up again.
RawEndpoint::Behaviour breaksOffNewStreams(const std::string &version)
{
    return [version](int socket, const std::string &call, unsigned) {
        const std::string lastEvent = headerOf(call, "Last-Event-Id");
        if (!lastEvent.empty()) {
            RawEndpoint::write(socket, streamAnswer(call, eventOf(version, 3) + eventOf(version, 4),
                                                    Framing::Chunked));
            return;
        }
        RawEndpoint::write(
                socket,
                signedHead(call,
                           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                        + chunkText(eventOf(version, 1) + eventOf(version, 2)));
    };
}

} // namespace

class StreamSoftware : public testing::Test
{
protected:
    StreamSoftware() { harness.configure(oneRouteOfEachKind()); }

    void add(const std::string &id, const std::string &version, const RawEndpoint &endpoint)
    {
        const nlohmann::json entry{{"service", "resume"},
                                   {"address", endpoint.address()},
                                   {"zone", "dc-1"},
                                   {"version", version},
                                   {"slots", 4},
                                   {"state", "ready"},
                                   {"cold_remaining_ms", 0},
                                   {"sequence", 1},
                                   {"born", 1}};
        harness.onLoop([&](ForwardingContext &context) {
            context.directory.put(context.adapter->decodeRegistration(id, entry.dump()));
        });
    }

    std::string send(const std::string &moreHeaders = {})
    {
        return sendRequest(harness, requestText("POST", "/resume/a", moreHeaders, "{}"));
    }

    ForwardingHarness harness;
    RawEndpoint older{breaksOffNewStreams("v1")};
    RawEndpoint newer{breaksOffNewStreams("v2")};
};

// Guards against a router that continues a broken stream at an endpoint of another version.
TEST_F(StreamSoftware, ABrokenStreamGoesOnAtTheVersionThatBeganIt)
{
    add("e1", "v1", older);
    add("e2", "v2", newer);
    const std::string answer = send();
    EXPECT_NE(answer.find("id: 4"), std::string::npos) << answer;
    EXPECT_NE(answer.find("by v1") == std::string::npos, answer.find("by v2") == std::string::npos)
            << answer;
}

// Guards against a router that continues a broken stream at another version when the one that began
// it has gone.
TEST_F(StreamSoftware, ABrokenStreamEndsWhenItsVersionHasGone)
{
    add("e1", "v1", older);
    const RawEndpoint last([this](int socket, const std::string &call, unsigned before) {
        add("e2", "v2", newer);
        breaksOffNewStreams("v1")(socket, call, before);
        harness.onLoop([](ForwardingContext &context) { context.directory.remove("e3", 1); });
    });
    harness.onLoop([](ForwardingContext &context) { context.directory.remove("e1", 1); });
    add("e3", "v1", last);
    const std::string answer = send();
    EXPECT_EQ(answer.find("by v2"), std::string::npos) << answer;
    EXPECT_EQ(answer.find("id: 4"), std::string::npos) << answer;
}

// Guards against a caller's take-up that goes on at another version than the one that began it.
TEST_F(StreamSoftware, ATakenUpStreamGoesOnAtTheVersionThatBeganIt)
{
    const RawEndpoint first([this](int socket, const std::string &call, unsigned before) {
        breaksOffNewStreams("v1")(socket, call, before);
        harness.onLoop([](ForwardingContext &context) { context.directory.remove("e0", 1); });
    });
    add("e0", "v1", first);
    const std::string begun = send();
    ASSERT_EQ(begun.find("id: 4"), std::string::npos) << begun;
    add("e2", "v2", newer);
    const std::string early = send("Last-Event-Id: 2\r\nResumes: r1\r\n");
    EXPECT_EQ(early.substr(0, 12), "HTTP/1.1 503") << early;
    add("e1", "v1", older);
    for (const char *id : {"2", "3"}) {
        const std::string answer =
                send(std::string("Last-Event-Id: ") + id + "\r\nResumes: r1\r\n");
        EXPECT_NE(answer.find("by v1"), std::string::npos) << answer;
    }
    EXPECT_EQ(newer.calls(), 0U);
}

// Guards against a router that goes on with a stream that a caller takes up again, at any version,
// though it can't know which one began it: all routers may have been killed in between.
TEST_F(StreamSoftware, AStreamOfUnknownOriginIsRefusedBesideTwoVersions)
{
    add("e1", "v1", older);
    add("e2", "v2", newer);
    const std::string answer = send("Last-Event-Id: 2\r\nResumes: r0\r\n");
    EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 503") << answer;
    EXPECT_EQ(older.calls() + newer.calls(), 0U);
}

} // namespace almondmill::test
