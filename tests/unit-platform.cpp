#include "support/hookedstore.h"

#include "almondmill/metrics/metrics.h"
#include "almondmill/store/circuitbreaker.h"
#include "almondmill/store/circuitbreakerplatform.h"
#include "almondmill/store/httpplatform.h"
#include "almondmill/store/updatesettler.h"

#include "platformserver.h"
#include "support/loopback.h"
#include "support/rawendpoint.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds Timeout{1000};

SteadyTime at(std::chrono::milliseconds time)
{
    return SteadyTime{} + 1h + time;
}

/// Returns how many calls are allowed during an outage of `length`, starting at time zero, for a
/// router that tries one call per millisecond.
unsigned allowedCallsInOutage(CircuitBreaker &breaker, std::chrono::milliseconds length)
{
    unsigned calls = 0;
    for (auto time = 0ms; time < length; time += 1ms) {
        if (!breaker.allow(at(time)))
            continue;
        ++calls;
        breaker.recordFailure(at(time), 0);
    }
    return calls;
}

/// Fails the first change with `fault`, and every read if `readsFail` is set.
void failFirstChange(HookedStore &store, StoreFault fault, bool readsFail = false)
{
    store.setHook([fault, readsFail, first = true](const StoreCall &call) mutable {
        if (call.kind == StoreCall::Kind::Read)
            return readsFail ? StoreFault::Refused : StoreFault::None;
        const bool fail = first;
        first = false;
        return fail ? fault : StoreFault::None;
    });
}

/// Platform that forwards its calls to a HookedStore.
class FakePlatform : public Platform
{
public:
    explicit FakePlatform(HookedStore &store)
        : m_store(store)
    {}

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override
    {
        return m_store.read(name, timeout);
    }
    ListResult list(const std::string &prefix, std::chrono::milliseconds timeout) override
    {
        return m_store.list(prefix, timeout);
    }
    WatchResult watch(const std::string &prefix, std::uint64_t revision,
                      std::chrono::milliseconds wait) override
    {
        return m_store.watch(prefix, revision, wait);
    }
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override
    {
        return m_store.createIfAbsent(name, value, timeout);
    }
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override
    {
        return m_store.update(name, value, expectedVersion, timeout);
    }
    UpdateResult remove(const std::string &name, std::uint64_t expectedVersion,
                        std::chrono::milliseconds timeout) override
    {
        return m_store.remove(name, expectedVersion, timeout);
    }
    VmListResult vms(std::chrono::milliseconds) override { return std::vector<Vm>{}; }

private:
    HookedStore &m_store;
};

} // namespace

TEST(CircuitBreaker, AllowsFewCallsDuringAnOutage)
{
    CircuitBreaker breaker;
    // Three calls until it opens, four probes while the delay grows from 50 ms to 500 ms, then one
    // probe every 500 ms (jitter 0 gives half of the back-off).
    EXPECT_LE(allowedCallsInOutage(breaker, 60s), 3U + 4U + 120U);
    EXPECT_EQ(breaker.state(), CircuitBreaker::State::Open);
}

TEST(CircuitBreaker, ProbesAgainWithinASecond)
{
    CircuitBreaker breaker;
    allowedCallsInOutage(breaker, 60s);
    breaker.recordFailure(at(60s), 0.999);
    EXPECT_TRUE(breaker.allow(at(61s)));
    EXPECT_FALSE(breaker.allow(at(61s + 1ms))) << "a second probe while one is in flight";
}

TEST(CircuitBreaker, LimitsTheCallRateWhileRecovering)
{
    CircuitBreaker breaker;
    allowedCallsInOutage(breaker, 60s);
    ASSERT_TRUE(breaker.allow(at(62s)));
    breaker.recordSuccess(at(62s));
    unsigned firstSecond = 0;
    for (auto time = 62s + 0ms; time < 63s; time += 1ms)
        firstSecond += breaker.allow(at(time)) ? 1 : 0;
    EXPECT_LE(firstSecond, 11U);
    EXPECT_GE(firstSecond, 5U);
    EXPECT_TRUE(breaker.allow(at(80s)));
    EXPECT_EQ(breaker.state(), CircuitBreaker::State::Closed);
}

TEST(CircuitBreaker, AllowsAnotherProbeWhenAResultIsNeverRecorded)
{
    CircuitBreaker breaker;
    allowedCallsInOutage(breaker, 1s);
    ASSERT_TRUE(breaker.allow(at(10s)));
    EXPECT_FALSE(breaker.allow(at(15s)));
    EXPECT_TRUE(breaker.allow(at(10s + CircuitBreaker::ProbeTimeout)));
}

TEST(CircuitBreakerPlatform, FailsImmediatelyAsNotAppliedWhileOpen)
{
    HookedStore store;
    store.setHook([](const StoreCall &) { return StoreFault::Refused; });
    Metrics metrics;
    CircuitBreakerPlatform platform(std::make_unique<FakePlatform>(store), metrics,
                                    [] { return at(0ms); });
    for (int i = 0; i < 1000; ++i) {
        const auto result = platform.createIfAbsent("a", "1", Timeout);
        ASSERT_TRUE(std::holds_alternative<NotApplied>(result));
    }
    EXPECT_EQ(store.writes(), CircuitBreaker::FailuresToOpen);
    EXPECT_TRUE(std::holds_alternative<Unavailable>(platform.read("a", Timeout)));
    EXPECT_EQ(store.reads(), 0U);
    EXPECT_EQ(metrics.counter("almondmill_platform_not_called_total").value(),
              1001U - CircuitBreaker::FailuresToOpen);
}

TEST(CircuitBreakerPlatform, CountsAConflictAsAnAnswer)
{
    HookedStore store;
    store.inner().createIfAbsent("a", "1", Timeout);
    Metrics metrics;
    CircuitBreakerPlatform platform(std::make_unique<FakePlatform>(store), metrics);
    for (int i = 0; i < 10; ++i)
        EXPECT_TRUE(std::holds_alternative<Conflict>(platform.createIfAbsent("a", "2", Timeout)));
}

TEST(UpdateSettler, ReportsAppliedAfterTheAnswerIsLost)
{
    HookedStore store;
    failFirstChange(store, StoreFault::AnswerLost);
    const auto result = UpdateSettler(store, Timeout).createIfAbsent("a", "mine");
    EXPECT_TRUE(std::holds_alternative<Applied>(result));
    EXPECT_EQ(store.writes(), 1U);
}

TEST(UpdateSettler, RetriesALostRequest)
{
    HookedStore store;
    const auto first = std::get<Applied>(store.inner().createIfAbsent("a", "old", Timeout));
    failFirstChange(store, StoreFault::RequestLost);
    const auto result = UpdateSettler(store, Timeout).update("a", "mine", first.version);
    EXPECT_TRUE(std::holds_alternative<Applied>(result));
    EXPECT_EQ(std::get<StoredObject>(store.inner().read("a", Timeout)).value, "mine");
}

TEST(UpdateSettler, ReportsConflictAfterTheAnswerIsLost)
{
    HookedStore store;
    store.inner().createIfAbsent("a", "another's", Timeout);
    failFirstChange(store, StoreFault::AnswerLost);
    const auto result = UpdateSettler(store, Timeout).createIfAbsent("a", "mine");
    ASSERT_TRUE(std::holds_alternative<Conflict>(result));
    EXPECT_EQ(std::get<Conflict>(result).current->value, "another's");
}

TEST(UpdateSettler, ReportsOutcomeUnknownWhenReadingBackFails)
{
    HookedStore store;
    failFirstChange(store, StoreFault::AnswerLost, true);
    const auto result = UpdateSettler(store, Timeout).createIfAbsent("a", "mine");
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(result));
}

TEST(UpdateSettler, ReportsOutcomeUnknownForAReplacedObject)
{
    HookedStore store;
    const auto first = std::get<Applied>(store.inner().createIfAbsent("a", "old", Timeout));
    store.inner().update("a", "another's", first.version, Timeout);
    failFirstChange(store, StoreFault::AnswerLost);
    const auto result = UpdateSettler(store, Timeout).update("a", "mine", first.version);
    EXPECT_TRUE(std::holds_alternative<OutcomeUnknown>(result));
}

TEST(UpdateSettler, AppliesTheChangeOnceWhenTheFirstRequestIsLate)
{
    HookedStore store;
    failFirstChange(store, StoreFault::Late);
    const auto result = UpdateSettler(store, Timeout).createIfAbsent("a", "mine");
    ASSERT_TRUE(std::holds_alternative<Applied>(result));
    store.applyLate();
    EXPECT_EQ(std::get<StoredObject>(store.inner().read("a", Timeout)).version,
              std::get<Applied>(result).version);
}

TEST(HttpPlatform, EncodesNamesWithSpecialCharacters)
{
    const std::string address = nextLoopbackAddress() + ":8000";
    const standin::PlatformServer server(address);
    Metrics metrics;
    HttpPlatform platform("http://" + address, metrics);
    const std::string name = "claims/a b+c%2F?d=e&f#g\xc3\xa9";
    ASSERT_TRUE(std::holds_alternative<Applied>(platform.createIfAbsent(name, "1", Timeout)));
    platform.createIfAbsent("claims/z", "2", Timeout);
    const auto read = platform.read(name, Timeout);
    ASSERT_TRUE(std::holds_alternative<StoredObject>(read));
    EXPECT_EQ(std::get<StoredObject>(read).value, "1");
    const auto listed = platform.list("claims/a b+c%2F?d=e&f#", Timeout);
    ASSERT_TRUE(std::holds_alternative<ObjectList>(listed));
    ASSERT_EQ(std::get<ObjectList>(listed).objects.size(), 1U);
    EXPECT_EQ(std::get<ObjectList>(listed).objects[0].name, name);
}

// Guards against one entry of another writer that hides all others of the product's own object API.
TEST(HttpPlatform, AnEntryThatCannotBeReadHidesNoOther)
{
    const auto serving = [](const std::string &body) {
        return [body](int socket, const std::string &, unsigned) {
            RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       "Connection: close\r\nContent-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body);
        };
    };
    Metrics metrics;
    const std::string sound = R"({"name":"a","value":"1","version":2})";
    for (const std::string odd : {"17", "null", "{}", R"({"name":5,"value":"1","version":2})",
                                  R"({"name":"b","value":{},"version":2})",
                                  "{\"name\":\"\xff\",\"value\":\"1\",\"version\":2}"}) {
        SCOPED_TRACE(odd);
        const RawEndpoint lists(
                serving(absl::StrCat(R"({"revision":9,"objects":[)", odd, ",", sound, "]}")));
        const auto listed = HttpPlatform("http://" + lists.address(), metrics).list("", Timeout);
        const auto *list = std::get_if<ObjectList>(&listed);
        ASSERT_NE(list, nullptr);
        ASSERT_EQ(list->objects.size(), 1U);
        EXPECT_EQ(list->objects[0].name, "a");
    }
    const RawEndpoint watches(serving("{\"revision\":9,\"names\":[5,\"\xff\",\"a\"]}"));
    const auto watched = HttpPlatform("http://" + watches.address(), metrics).watch("", 1, Timeout);
    const auto *changes = std::get_if<ObjectChanges>(&watched);
    ASSERT_NE(changes, nullptr);
    EXPECT_EQ(changes->names, std::vector<std::string>{"a"});
}

TEST(HttpPlatform, ReportsAppliedAfterTheAnswerIsLost)
{
    const std::string address = nextLoopbackAddress() + ":8000";
    standin::PlatformServer server(address);
    Metrics metrics;
    HttpPlatform platform("http://" + address, metrics);
    server.setFault(standin::FaultMode::LoseAnswer);
    const auto result = UpdateSettler(platform, Timeout).createIfAbsent("claims/a", "mine");
    EXPECT_TRUE(std::holds_alternative<Applied>(result));
    EXPECT_EQ(metrics.counter("almondmill_platform_calls_total", "kind=\"create\"").value(), 1U);
    EXPECT_EQ(metrics.counter("almondmill_platform_calls_total", "kind=\"read\"").value(), 1U);
}

} // namespace almondmill::test
