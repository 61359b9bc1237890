// Guards against callers that exhaust the memory or the descriptors of a router by what they make
// it hold: unfinished bodies and heads, bodies without end, answers that nobody reads, and idle
// connections. The router lives, stays within the memory limit of its settings and answers an
// ordinary request while such callers stay connected. The cases run one at a time.

#include "support/abusivecrowd.h"
#include "support/forwardingprocess.h"
#include "support/processmemory.h"
#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <array>
#include <cstdio>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace almondmill::test {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t(4) << 20U;

/// The unfinished bodies of a crowd end this many bytes before their end.
constexpr std::size_t MissingBytes = 7;

constexpr std::size_t BytesPerMb = 1000000;

/// Limits of the memory and the descriptors of each router under test. The descriptors beyond
/// those that the router reserves allow fewer connections than `ConnectionCrowd` opens.
constexpr std::uint32_t MemoryMb = 96;
constexpr std::uint32_t SmallMemoryMb = 56;
constexpr std::uint32_t Descriptors = 1024;
constexpr std::uint32_t FewDescriptors = 400;

/// Callers whose whole bodies take 1.7 times the memory limit.
constexpr std::size_t BodyCrowd = 40;
constexpr std::size_t ConnectionCrowd = 150;
constexpr std::size_t OneByteCrowd = 64;
constexpr std::size_t OneByteChunks = 600000;
constexpr std::size_t ChunksOfAPiece = 1000;

constexpr std::size_t StepBytes = std::size_t(64) << 10U;
constexpr std::size_t SmallStepBytes = 100;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool ChecksMemory = false; // The sanitizer's own memory counts too.
#else
constexpr bool ChecksMemory = true;
#endif

struct Abuse
{
    const char *name;
    std::size_t callers;
    std::uint32_t memoryMb;
    std::uint32_t descriptors;
    /// The load of each caller, given the head of a request without the lines of its framing.
    AbusiveLoad (*load)(const std::string &headStart);
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const Abuse &abuse, std::ostream *out)
{
    *out << abuse.name;
}

std::string lengthLine(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

constexpr const char *ChunkedLine = "Transfer-Encoding: chunked\r\n\r\n";

/// One chunk with `bytes` of a body.
std::string chunk(std::size_t bytes)
{
    std::array<char, 32> size{};
    (void)std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'b') + "\r\n";
}

AbusiveLoad wholeBody(const std::string &headStart)
{
    const std::string body(MaxBodyBytes - MissingBytes, 'b');
    return {headStart + lengthLine(MaxBodyBytes), body, 1, body.size()};
}

AbusiveLoad bodyInPieces(const std::string &headStart)
{
    AbusiveLoad load = wholeBody(headStart);
    load.stepBytes = StepBytes;
    return load;
}

AbusiveLoad largeChunks(const std::string &headStart)
{
    constexpr std::size_t Chunks = 64;
    const std::string piece = chunk(MaxBodyBytes / Chunks);
    return {headStart + ChunkedLine, piece, Chunks, piece.size()};
}

AbusiveLoad oneByteChunks(const std::string &headStart)
{
    std::string piece;
    for (std::size_t number = 0; number < ChunksOfAPiece; ++number)
        piece += chunk(1);
    return {headStart + ChunkedLine, piece, OneByteChunks / ChunksOfAPiece, StepBytes};
}

AbusiveLoad announcedFarOver(const std::string &headStart)
{
    return {headStart + lengthLine(std::size_t(100) << 30U), std::string(StepBytes, 'b'), 256,
            StepBytes};
}

AbusiveLoad sentFarOver(const std::string &headStart)
{
    return {headStart + ChunkedLine, chunk(StepBytes), 256, StepBytes};
}

AbusiveLoad headWithoutEnd(const std::string &headStart)
{
    return {headStart, "X-Field: " + std::string(SmallStepBytes, 'h') + "\r\n", 140,
            SmallStepBytes};
}

AbusiveLoad pipelinedWithoutReading(const std::string &headStart)
{
    const std::string body(std::size_t(200) << 10U, 'b');
    return {"", headStart + lengthLine(body.size()) + body, 100, StepBytes};
}

AbusiveLoad partOfHead(const std::string &headStart)
{
    return {headStart, "", 0, headStart.size()};
}

std::vector<Abuse> abuses()
{
    return {{"WholeBodies", BodyCrowd, MemoryMb, Descriptors, wholeBody},
            {"BodiesInPieces", BodyCrowd, MemoryMb, Descriptors, bodyInPieces},
            {"LargeChunks", BodyCrowd, MemoryMb, Descriptors, largeChunks},
            {"OneByteChunks", OneByteCrowd, SmallMemoryMb, Descriptors, oneByteChunks},
            {"AnnouncedFarOver", BodyCrowd, MemoryMb, Descriptors, announcedFarOver},
            {"SentFarOver", BodyCrowd, MemoryMb, Descriptors, sentFarOver},
            {"HeadsWithoutEnd", ConnectionCrowd, MemoryMb, Descriptors, headWithoutEnd},
            {"PipelinedWithoutReading", BodyCrowd, MemoryMb, Descriptors, pipelinedWithoutReading},
            {"ManyConnections", ConnectionCrowd, MemoryMb, FewDescriptors, partOfHead}};
}

/// Whether an ordinary caller, who repeats a request without an answer once, is answered.
bool isServed(const std::function<int()> &request)
{
    const auto first = request();
    return first == 200 || request() == 200;
}

void expectUnharmed(ChildProcess &router, const Abuse &abuse, const std::function<int()> &request)
{
    EXPECT_TRUE(isServed(request));
    ASSERT_FALSE(router.hasEnded());
    EXPECT_LT(descriptorsOf(router.pid()), abuse.descriptors);
    testing::Test::RecordProperty("peak_bytes", std::to_string(peakMemoryOf(router.pid())));
    if (ChecksMemory) {
        EXPECT_LT(peakMemoryOf(router.pid()), abuse.memoryMb * BytesPerMb);
    }
}

class MemoryUnderAbuse : public testing::TestWithParam<Abuse>
{};

class NativeMemoryUnderAbuse : public testing::TestWithParam<Abuse>
{};

constexpr std::uint32_t MaxRequests = 100;
constexpr std::uint32_t CallerThreads = 200;

std::string nativeLimits(std::uint32_t memoryMb)
{
    std::string text = "[limits]\nmax_body_bytes = " + std::to_string(MaxBodyBytes)
                       + "\nmax_requests = " + std::to_string(MaxRequests)
                       + "\ncaller_threads = " + std::to_string(CallerThreads) + "\n";
    return memoryMb == 0 ? text : text + "max_memory = " + std::to_string(memoryMb) + "\n";
}

/// Starts a router of the product's own interface. One that rejects the memory limit as unknown is
/// started without it, so that the bounds of the tests show what such a router takes.
std::unique_ptr<RouterProcess> startNativeRouter(const Site &site, std::uint32_t memoryMb)
{
    auto router = std::make_unique<RouterProcess>(site.platformUrl(), nativeLimits(memoryMb));
    const auto isReady = [&] {
        httplib::Client client(router->operatorsUrl());
        const auto result = client.Get("/readyz");
        return result && result->status == 200;
    };
    bool hasEnded = false;
    (void)waitUntil([&] { return (hasEnded = router->process().hasEnded()) || isReady(); });
    if (hasEnded) {
        router = std::make_unique<RouterProcess>(site.platformUrl(), nativeLimits(0));
        (void)waitUntil(isReady);
    }
    return router;
}

std::string nativeHeadStart()
{
    return std::string("POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer ")
           + ApiKey + "\r\n";
}

int requestCompletion(const RouterProcess &router, std::size_t promptBytes)
{
    constexpr std::chrono::seconds AnswerTimeout{60};
    httplib::Client caller(router.callersUrl());
    caller.set_read_timeout(AnswerTimeout);
    caller.set_bearer_token_auth(ApiKey);
    const std::string body =
            R"({"model":"reed","max_tokens":2,"prompt":")" + std::string(promptBytes, 'p') + "\"}";
    const auto answer = caller.Post("/v1/completions", body, "application/json");
    return answer ? answer->status : 0;
}

} // namespace

TEST_P(MemoryUnderAbuse, TheRouterLivesWithinItsLimitsAndServesOthers)
{
    const Abuse &abuse = GetParam();
    ForwardingProcess router({abuse.memoryMb, abuse.descriptors});
    ASSERT_TRUE(router.waitUntilServing());
    AbusiveCrowd crowd(router.callersUrl(), abuse.callers);
    crowd.send(abuse.load(ForwardingProcess::headStart()));
    expectUnharmed(router.process(), abuse, [&] { return router.request(); });
}

TEST_P(NativeMemoryUnderAbuse, TheRouterLivesWithinItsLimitsAndServesOthers)
{
    const Abuse &abuse = GetParam();
    const Site site(1, 0);
    const auto router = startNativeRouter(site, abuse.memoryMb);
    AbusiveCrowd crowd(router->callersUrl(), abuse.callers);
    crowd.send(abuse.load(nativeHeadStart()));
    expectUnharmed(router->process(), abuse, [&] { return requestCompletion(*router, 2); });
}

// Guards against a limit of memory that refuses a request within the limits while nothing else is
// going on.
TEST(MemoryInCalm, ALargestBodyIsServed)
{
    ForwardingProcess router({MemoryMb, Descriptors});
    ASSERT_TRUE(router.waitUntilServing());
    for (int number = 0; number < 3; ++number)
        EXPECT_EQ(router.request(MaxBodyBytes), 200);
}

TEST(MemoryInCalm, ALargestBodyIsServedByTheNativeInterface)
{
    constexpr std::size_t FramingBytes = 100;
    standin::EngineOptions options;
    options.prefillPerBlock = std::chrono::milliseconds(0);
    const Site site(1, 0, options);
    const auto router = startNativeRouter(site, MemoryMb);
    for (int number = 0; number < 3; ++number)
        EXPECT_EQ(requestCompletion(*router, MaxBodyBytes - FramingBytes), 200);
}

INSTANTIATE_TEST_SUITE_P(Kinds, MemoryUnderAbuse, testing::ValuesIn(abuses()),
                         [](const auto &parameter) { return std::string(parameter.param.name); });
INSTANTIATE_TEST_SUITE_P(Kinds, NativeMemoryUnderAbuse, testing::ValuesIn(abuses()),
                         [](const auto &parameter) { return std::string(parameter.param.name); });

} // namespace almondmill::test
