// Guards the attribution of answers on connections that are used again: an earlier refusal that an
// endpoint writes once more, whole or cut, must not be taken for the answer to a later request.

#include "support/answertexts.h"
#include "support/caller.h"
#include "support/forwardingharness.h"
#include "support/rawendpoint.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

/// A refusal whose id and framing the test chooses; without an id if `id` is empty.
std::string refusal(const std::string &statusLine, const std::string &id)
{
    const std::string idLine = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    return "HTTP/1.1 " + statusLine + "\r\nNot-Executed: 1\r\n" + idLine
           + "Content-Length: 4\r\n\r\nfull";
}

std::string callWithId(const std::string &target, const std::string &id)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
           + "\r\nAuthorization: Bearer k1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
}

/// An earlier answer with these header lines.
std::string oldAnswer(const std::string &statusLine, const std::string &headers)
{
    return "HTTP/1.1 " + statusLine + "\r\n" + headers + "Content-Length: 3\r\n\r\nold";
}

/// When an endpoint writes the copy of its first refusal.
enum class CopyTime { WithTheFirst, LaterThanTheFirst, AfterTheNextRequest };

struct CopyCase
{
    const char *statusLine;
    const char *copyId; ///< Id in the copy; the first request is "r1", the second "r2".
    CopyTime time;
    milliseconds delay;
};

std::vector<CopyCase> copyCases()
{
    std::vector<CopyCase> cases;
    for (const char *status :
         {"503 Service Unavailable", "421 Misdirected Request", "429 Too Many Requests"}) {
        for (const char *id : {"r1", ""}) {
            cases.push_back({status, id, CopyTime::WithTheFirst, milliseconds(0)});
            cases.push_back({status, id, CopyTime::AfterTheNextRequest, milliseconds(0)});
            for (const int delay : {1, 20, 100, 500})
                cases.push_back({status, id, CopyTime::LaterThanTheFirst, milliseconds(delay)});
        }
        // The id of a request that has not been sent yet.
        cases.push_back({status, "r2", CopyTime::WithTheFirst, milliseconds(0)});
        cases.push_back({status, "r2", CopyTime::LaterThanTheFirst, milliseconds(20)});
    }
    return cases;
}

/// Endpoints that count the requests they run, by id.
class Attribution : public testing::Test
{
protected:
    unsigned runsOf(const std::string &id)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_runs[id];
    }

    /// Runs the request and answers it.
    void run(int socket, const std::string &call, const std::string &moreHeaders = {})
    {
        const std::string id = headerOf(call, "Request-Id");
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            ++m_runs[id];
        }
        RawEndpoint::write(socket, signedAnswer(call, "200 OK", "answer to " + id, moreHeaders));
    }

    /// Refuses the first request on a connection, writes a copy of the refusal and runs the others.
    void refuseTwice(int socket, const std::string &first, const CopyCase &copyCase)
    {
        const std::string answer = refusal(copyCase.statusLine, headerOf(first, "Request-Id"));
        const std::string copy = refusal(copyCase.statusLine, copyCase.copyId);
        const bool isAtOnce = copyCase.time == CopyTime::WithTheFirst;
        RawEndpoint::write(socket, isAtOnce ? answer + copy : answer);
        if (copyCase.time == CopyTime::LaterThanTheFirst) {
            std::this_thread::sleep_for(copyCase.delay);
            RawEndpoint::write(socket, copy);
        }
        m_earlyCopies += copyCase.time == CopyTime::AfterTheNextRequest ? 0 : 1;
        for (std::string call = RawEndpoint::readCall(socket); !call.empty();
             call = RawEndpoint::readCall(socket)) {
            if (copyCase.time == CopyTime::AfterTheNextRequest)
                RawEndpoint::write(socket, copy);
            run(socket, call);
        }
    }

    /// Copies that endpoints have written before a next request.
    std::size_t earlyCopies() const { return m_earlyCopies; }

    /// Expects that the request ran at most once and that the answer says nothing else.
    void expectTruthful(const std::string &answer, const std::string &id)
    {
        EXPECT_LE(runsOf(id), 1U) << answer;
        if (runsOf(id) == 0)
            return;
        const bool isOwn = hasStatus(answer, 200) && answer.ends_with("\r\n\r\nanswer to " + id);
        EXPECT_TRUE(isOwn || hasStatus(answer, 502)) << answer;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::atomic<std::size_t> m_earlyCopies{0};
};

std::string askWithId(const ForwardingHarness &harness, const std::string &id)
{
    return sendRequest(harness, callWithId("/once/x", id));
}

} // namespace

// A copy of an earlier refusal without a request id was taken for the refusal of a request that the
// endpoint ran.
TEST_F(Attribution, ACopyOfAnEarlierRefusalDoesNotRefuseTheNextRequest)
{
    for (const CopyCase &copyCase : copyCases()) {
        const RawEndpoint endpoint([&](int socket, const std::string &first, unsigned) {
            if (first.empty())
                return;
            if (headerOf(first, "Request-Id") == "r1")
                refuseTwice(socket, first, copyCase);
            else
                run(socket, first, "Connection: close\r\n");
        });
        ForwardingHarness harness;
        harness.configure(oneRouteOfEachKind());
        harness.addEndpoint("e1", "once", endpoint.address());
        const std::size_t copiesBefore = earlyCopies();
        EXPECT_TRUE(hasStatus(askWithId(harness, "r1"), 503));
        const auto before = runsOf("r2");
        // Once the request has been sent, an endpoint may answer it: the copy with its id comes
        // before.
        const bool hasNextId = std::string(copyCase.copyId) == "r2";
        ASSERT_TRUE(!hasNextId || waitUntil([&] { return earlyCopies() == copiesBefore + 1; }));
        const std::string answer = askWithId(harness, "r2");
        SCOPED_TRACE(std::string(copyCase.statusLine) + " id " + copyCase.copyId + " after "
                     + std::to_string(copyCase.delay.count()) + " ms");
        EXPECT_EQ(runsOf("r2"), before + 1);
        EXPECT_TRUE(hasStatus(answer, 200) || hasStatus(answer, 502)) << answer;
        EXPECT_TRUE(!hasStatus(answer, 200) || answer.ends_with("\r\n\r\nanswer to r2")) << answer;
    }
}

// A request that ran was sent to a second endpoint because of a copy of an earlier refusal.
TEST_F(Attribution, ACopyOfAnEarlierRefusalDoesNotSendTheNextRequestTwice)
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    configuration.routes.front().maxAttempts = 3;
    for (const char *copyId : {"r0", ""}) {
        const RawEndpoint copying([&](int socket, const std::string &first, unsigned) {
            std::string call = first;
            while (!call.empty()) {
                run(socket, call);
                call = RawEndpoint::readCall(socket);
                if (!call.empty())
                    RawEndpoint::write(socket, refusal("503 Service Unavailable", copyId));
            }
        });
        const RawEndpoint sound([&](int socket, const std::string &call, unsigned) {
            if (!call.empty())
                run(socket, call, "Connection: close\r\n");
        });
        ForwardingHarness harness;
        harness.configure(configuration);
        harness.addEndpoint("e1", "once", copying.address());
        harness.addEndpoint("e2", "once", sound.address());
        for (int request = 1; request <= 12; ++request) {
            const std::string id = copyId + std::string("n") + std::to_string(request);
            const std::string answer = askWithId(harness, id);
            expectTruthful(answer, id);
        }
    }
}

// A copy that breaks off at any byte merged with the next answer into one that had the status of
// the copy and the id, the signature and the body of the next answer.
TEST_F(Attribution, AnAnswerAfterACopyThatBreaksOffKeepsItsStatus)
{
    const std::vector<std::string> copies{
            refusal("503 Service Unavailable", ""),
            refusal("503 Service Unavailable", "r0"),
            refusal("421 Misdirected Request", ""),
            oldAnswer("500 Internal Server Error", "Server-Signature: s0\r\nRequest-Id: r0\r\n"),
            oldAnswer("500 Internal Server Error", "Server-Signature: s0\r\n"),
            oldAnswer("404 Not Found", "Request-Id: r0\r\n"),
            oldAnswer("200 OK", "X-Other: value\r\nServer-Signature: s0\r\nRequest-Id: r0\r\n")};
    for (const std::string &copy : copies) {
        for (const char *status : {"200 OK", "500 Internal Server Error"}) {
            std::atomic<std::size_t> length{1};
            const RawEndpoint endpoint([&](int socket, const std::string &first, unsigned) {
                if (first.empty())
                    return;
                RawEndpoint::write(socket, signedAnswer(first, "200 OK", "first"));
                const std::string call = RawEndpoint::readCall(socket);
                RawEndpoint::write(socket, copy.substr(0, length)
                                                   + signedAnswer(call, status, "own",
                                                                  "Connection: close\r\n"));
            });
            ForwardingHarness harness;
            harness.configure(oneRouteOfEachKind());
            harness.addEndpoint("e1", "once", endpoint.address());
            for (; length <= copy.size(); ++length) {
                EXPECT_TRUE(hasStatus(askWithId(harness, "first"), 200));
                const std::string answer = askWithId(harness, "second");
                const bool isOwn = answer.starts_with(std::string("HTTP/1.1 ") + status)
                                   && answer.ends_with("\r\n\r\nown");
                const bool isError =
                        hasStatus(answer, 502) && headerOf(answer, "Server-Signature").empty();
                EXPECT_TRUE(isOwn || isError) << copy.substr(0, length) << "|\n" << answer;
            }
        }
    }
}

// An answer without a request id on a connection that was used before went to the next caller.
TEST_F(Attribution, AnAnswerWithoutIdOnAUsedConnectionReachesNoCaller)
{
    const RawEndpoint endpoint([&](int socket, const std::string &first, unsigned) {
        if (first.empty())
            return;
        run(socket, first);
        const std::string call = RawEndpoint::readCall(socket);
        RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nServer-Signature: s0\r\n"
                                   "Content-Length: 5\r\n\r\nwrong");
        run(socket, call, "Connection: close\r\n");
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    EXPECT_TRUE(hasStatus(askWithId(harness, "r1"), 200));
    const std::string answer = askWithId(harness, "r2");
    EXPECT_TRUE(answer.ends_with("\r\n\r\nanswer to r2")) << answer;
}

// The only request of a new connection is the one that its first answer can belong to.
TEST_F(Attribution, ARefusalWithoutIdOnANewConnectionCounts)
{
    const RawEndpoint full([](int socket, const std::string &, unsigned) {
        RawEndpoint::write(socket, refusal("503 Service Unavailable", ""));
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", full.address());
    EXPECT_TRUE(hasStatus(askWithId(harness, "r1"), 503));
}

// After an answer to another request, not even a new connection shows what a refusal without an id
// belongs to.
TEST_F(Attribution, ARefusalWithoutIdAfterAnAnswerToAnotherRequestDoesNotCount)
{
    const RawEndpoint endpoint([&](int socket, const std::string &call, unsigned) {
        RawEndpoint::write(socket, refusal("503 Service Unavailable", "other")
                                           + refusal("503 Service Unavailable", ""));
        run(socket, call, "Connection: close\r\n");
    });
    ForwardingHarness harness;
    harness.configure(oneRouteOfEachKind());
    harness.addEndpoint("e1", "once", endpoint.address());
    const std::string answer = askWithId(harness, "r1");
    expectTruthful(answer, "r1");
}

} // namespace almondmill::test
