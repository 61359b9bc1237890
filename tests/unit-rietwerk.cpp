// Decoders and encoders of the Rietwerk platform adapter.

#include "almondmill/directory/registration.h"
#include "almondmill/forward/answermetadata.h"
#include "almondmill/forward/attemptparameters.h"
#include "almondmill/forward/callerrequest.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/wirecodec.h"
#include "almondmill/http/httphead.h"
#include "almondmill/kernel/error.h"
#include "almondmill/rollout/enginereport.h"
#include "almondmill/rollout/weightsorder.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

namespace almondmill::test {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

const PlatformAdapter &adapter()
{
    static const auto instance = PlatformAdapterRegistry::create("rietwerk");
    return *instance;
}

constexpr const char *Configuration = R"({"version":7,
"routes":[{"name":"r1","host":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":5000,
"target_latency_ms":600,"priority":1,"traffic_split":[{"service":"s1","weight":90},
{"service":"s2","weight":10}],"max_attempts":2,"public":false,"sticky":true,"resumable":true,
"gap_target_ms":400},{"name":"r2","host":"h.example","path_prefix":"/b/","kind":"non_idempotent",
"timeout_ms":800.0,"service":"s3","max_attempts":1,"public":true}],
"services":[{"name":"s1","health_path":"/health","max_connections":600,"engine":{"slots":48,
"kv_capacity_tokens":98960,"token_kv_bytes":163840,"link_mbps":1100000.0,"max_in_flight":12}},
{"name":"s4","kv_store_addr":"172.20.0.2:8781","zone":"lvn-b","kv_capacity_tokens":1638587,
"link_mbps":280000.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1,"isolated":true}]})";

constexpr const char *Entry = R"({"service":"s1","address":"10.128.0.9:8080","zone":"lvn-a",
"version":"v1","slots":48,"state":"ready","cold_remaining_ms":0,"stage":"colocated",
"models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1700000000000})";

std::string with(const char *text, const std::string &name, const json &value)
{
    json object = json::parse(text);
    object[name] = value;
    return object.dump();
}

std::string without(const char *text, const std::string &name)
{
    json object = json::parse(text);
    object.erase(name);
    return object.dump();
}

} // namespace

TEST(RietwerkDocuments, AConfigurationIsDecoded)
{
    const auto configuration = adapter().decodeRouting(Configuration);
    EXPECT_EQ(configuration.version, 7U);
    ASSERT_EQ(configuration.routes.size(), 2U);
    const Route &stream = configuration.routes[0];
    EXPECT_EQ(stream.retrySafety, RetrySafety::ResumableStream);
    EXPECT_EQ(stream.timeout, milliseconds(5000));
    EXPECT_EQ(stream.targetEventGap, milliseconds(400));
    ASSERT_EQ(stream.shares.size(), 2U);
    EXPECT_EQ(stream.shares[1].weight, 10U);
    EXPECT_EQ(configuration.routes[1].retrySafety, RetrySafety::AtMostOnce);
    EXPECT_EQ(configuration.routes[1].timeout, milliseconds(800));
    EXPECT_TRUE(configuration.routes[1].isPublic);
    EXPECT_EQ(configuration.services[0].engine->slots, 48U);
    EXPECT_EQ(configuration.services[1].kvCacheStore->address, "172.20.0.2:8781");
    EXPECT_DOUBLE_EQ(configuration.services[1].kvCacheStore->linkMegabitsPerSecond, 280000);
    EXPECT_EQ(configuration.accounts[0].keys.size(), 2U);
    EXPECT_TRUE(configuration.accounts[0].isolated);
    EXPECT_EQ(configuration.bounds.idleTimeout, milliseconds(15000));
}

TEST(RietwerkDocuments, QuotasOfAccountsAreDecoded)
{
    const auto quotaOf = [](const char *fields) {
        const std::string account = R"([{"name":"t1","api_keys":["k1"],)" + std::string(fields)
                                    + R"("isolated":false}])";
        const auto decoded =
                adapter().decodeRouting(with(Configuration, "tenants", json::parse(account)));
        EXPECT_EQ(decoded.accounts.at(0).keys.size(), 1U);
        return decoded.accounts.at(0).quota;
    };
    const auto tokens = quotaOf(R"("unit":"token_stream","uncached_tokens":200,
                                   "rate_per_s":1392995,"burst":1392995,)");
    ASSERT_TRUE(tokens);
    EXPECT_TRUE(tokens->countsTokens);
    EXPECT_EQ(tokens->perSecond, 1392995);
    EXPECT_EQ(tokens->burst, 1392995);
    EXPECT_EQ(tokens->tokensWithoutPrompt, 200);
    EXPECT_FALSE(quotaOf(R"("rate_per_s":2.5,"burst":4,)")->countsTokens);
    EXPECT_FALSE(quotaOf(""));
    EXPECT_FALSE(quotaOf(R"("rate_per_s":0,"burst":0,)"));
    // Guards against an unreadable quota that takes the keys of its account along.
    EXPECT_FALSE(quotaOf(R"("rate_per_s":"many","burst":4,)"));
    EXPECT_FALSE(quotaOf(R"("rate_per_s":-1,"burst":4,)"));
    EXPECT_GT(quotaOf(R"("rate_per_s":3,"burst":"x",)")->burst, 0);
    EXPECT_FALSE(quotaOf(R"("rate_per_s":3,"burst":4,"unit":7,)")->countsTokens);
}

TEST(RietwerkDocuments, AMalformedConfigurationIsAnError)
{
    EXPECT_THROW(adapter().decodeRouting("no json"), Error);
    EXPECT_THROW(adapter().decodeRouting("[]"), Error);
    EXPECT_THROW(adapter().decodeRouting(without(Configuration, "routes")), Error);
    EXPECT_THROW(adapter().decodeRouting(with(Configuration, "routes", "x")), Error);
    EXPECT_THROW(adapter().decodeRouting(with(Configuration, "version", "7")), Error);
}

TEST(RietwerkDocuments, ARegistrationIsDecoded)
{
    const auto entry = adapter().decodeRegistration("i-1", Entry);
    EXPECT_EQ(entry.id, "i-1");
    EXPECT_EQ(entry.startedAt, milliseconds(1700000000000));
    EXPECT_EQ(entry.dataCentre, "lvn-a");
    EXPECT_FALSE(entry.draining);
    EXPECT_EQ(entry.models.front().weightsVersion, 3U);
    EXPECT_TRUE(adapter().decodeRegistration("i-1", with(Entry, "state", "draining")).draining);
}

TEST(RietwerkDocuments, MalformedRegistrationsAreErrors)
{
    for (const char *name : {"service", "address", "zone", "version", "slots", "state",
                             "cold_remaining_ms", "sequence", "born"})
        EXPECT_THROW(adapter().decodeRegistration("i-1", without(Entry, name)), Error) << name;
    EXPECT_THROW(adapter().decodeRegistration("i-1", "\xff\xfe"), Error);
    EXPECT_THROW(adapter().decodeRegistration("i-1", with(Entry, "state", "sleeping")), Error);
    EXPECT_THROW(adapter().decodeRegistration("i-1", with(Entry, "slots", "48")), Error);
    EXPECT_THROW(adapter().decodeRegistration("i-1", with(Entry, "born", 1.5)), Error);
    EXPECT_THROW(adapter().decodeRegistration("i-1", with(Entry, "address", "host:80")), Error);
    EXPECT_THROW(adapter().decodeRegistration("i-1", with(Entry, "models", 3)), Error);
}

TEST(RietwerkDocuments, OrdersAreEncodedAndReportsDecoded)
{
    WeightsOrder order;
    order.endpointId = "i-1";
    order.model = "m";
    order.version = 4;
    order.holder = "front-1";
    order.fencing = 9;
    order.expectedOrders = 2;
    const json body = json::parse(adapter().encodeOrder(order));
    EXPECT_EQ(body.at("operation"), "version");
    EXPECT_EQ(body.at("version"), 4);
    EXPECT_EQ(body.at("mode"), "hot_swap");
    EXPECT_EQ(body.at("fencing_token"), 9);
    EXPECT_EQ(body.at("expected"), 2);
    EXPECT_NE(adapter().encodeOrderHeaders(order).find("Expect-Instance: i-1\r\n"),
              std::string::npos);
    EXPECT_EQ(adapter().decodeOrderAnswer(202), OrderAnswer::Accepted);
    EXPECT_EQ(adapter().decodeOrderAnswer(412), OrderAnswer::Fenced);
    EXPECT_EQ(adapter().decodeOrderAnswer(500), OrderAnswer::Rejected);
    const auto report = adapter().decodeReport(
            R"({"stage":"colocated","models":[{"name":"m","version":2,"adapters":[]}],)"
            R"("busy":true,"sequence":3,"queued":1})");
    EXPECT_TRUE(report.isBusy);
    EXPECT_EQ(report.orders, 3U);
    EXPECT_EQ(report.models.front().weightsVersion, 2U);
    EXPECT_THROW(adapter().decodeReport("{}"), Error);
}

TEST(RietwerkCodec, RequestHeadersAreDecoded)
{
    HttpHead head;
    head.method = "POST";
    head.target = "/a/b?c=d";
    head.fields.add("host", "h");
    head.fields.add("Request-Id", "r1");
    head.fields.add("Authorization", "bearer k1");
    head.fields.add("Deadline-Ms", "1500");
    head.fields.add("Model", "m");
    head.fields.add("Token-Usage", "1460,80");
    head.fields.add("Prompt-Prefix", "5c1e:800,91bd:410,bad,e440:250");
    head.fields.add("Last-Event-Id", "12");
    const auto request = adapter().codec().decodeRequest(head);
    EXPECT_EQ(request.apiKey, "k1");
    EXPECT_EQ(request.path(), "/a/b");
    EXPECT_EQ(request.timeLeft, milliseconds(1500));
    EXPECT_EQ(request.resumeAfter, 12U);
    ASSERT_TRUE(request.prompt.has_value());
    EXPECT_EQ(request.prompt->promptTokens, 1460U);
    EXPECT_EQ(request.prompt->maxOutputTokens, 80U);
    ASSERT_EQ(request.prompt->parts.size(), 3U);
    EXPECT_EQ(request.prompt->parts[1].tokens, 410U);
}

TEST(RietwerkCodec, AnswerMetadataIsDecoded)
{
    HttpHead head;
    head.status = 503;
    head.fields.add("Not-Executed", "1");
    head.fields.add("Keep-Alive", "timeout=5, max=100");
    head.fields.add("Connection", "close");
    const auto metadata = adapter().codec().decodeAnswer(head);
    EXPECT_TRUE(metadata.notExecuted);
    EXPECT_FALSE(metadata.isSigned);
    EXPECT_TRUE(metadata.closesConnection);
    EXPECT_EQ(metadata.keepAlive, milliseconds(5000));
    HttpHead other;
    other.status = 421;
    EXPECT_TRUE(adapter().codec().decodeAnswer(other).notExecuted);
    EXPECT_TRUE(adapter().codec().decodeAnswer(other).isMisdirected);
}

namespace {

std::optional<milliseconds> retryAfterOf(const std::vector<std::string> &values)
{
    HttpHead head;
    head.status = 503;
    for (const std::string &value : values)
        head.fields.add("retry-after", value);
    return adapter().codec().decodeAnswer(head).retryAfter;
}

RateLimitField rateLimitOf(const std::vector<std::string> &values)
{
    HttpHead head;
    for (const std::string &value : values)
        head.fields.add("Server-Limit", value);
    return adapter().codec().decodeAnswer(head).rateLimit;
}

/// Requests per second of a field that states them; -1 for one that can't be read.
double limitOf(const std::vector<std::string> &values)
{
    const RateLimitField field = rateLimitOf(values);
    EXPECT_FALSE(std::holds_alternative<NoRateLimit>(field));
    const auto *limit = std::get_if<RequestsPerSecond>(&field);
    return limit ? limit->value : -1;
}

} // namespace

// Guards against limits that are misread: lower than stated, endless, or in place of nonsense.
TEST(RietwerkCodec, EveryFormOfARateLimitHasADefinedMeaning)
{
    EXPECT_TRUE(std::holds_alternative<NoRateLimit>(rateLimitOf({})));
    EXPECT_EQ(limitOf({"4"}), 4);
    EXPECT_EQ(limitOf({" 4.25 "}), 4.25);
    EXPECT_EQ(limitOf({".5"}), 0.5);
    EXPECT_EQ(limitOf({"0"}), 0);
    EXPECT_EQ(limitOf({"0.0"}), 0);
    EXPECT_EQ(limitOf({"0.000001"}), 0.000001);
    EXPECT_EQ(limitOf({"0." + std::string(400, '0') + "1"}), 0);
    EXPECT_EQ(limitOf({"1000001"}), 1e6);
    EXPECT_EQ(limitOf({std::string(400, '9')}), 1e6);
    for (const char *text : {"", "-1", "-0", "+2", "1e3", "1E-3", "inf", "nan", "0x10", "4 per s",
                             "1.2.3", ".", "four"})
        EXPECT_EQ(limitOf({text}), -1) << text;
    EXPECT_EQ(limitOf({"5", "3"}), 3);
    EXPECT_EQ(limitOf({"5, 3, nonsense"}), 3);
}

TEST(RietwerkCodec, EveryFormOfRetryAfterHasADefinedMeaning)
{
    const milliseconds longest = std::chrono::hours(1);
    EXPECT_EQ(retryAfterOf({"2"}), milliseconds(2000));
    EXPECT_EQ(retryAfterOf({" 2 "}), milliseconds(2000));
    EXPECT_EQ(retryAfterOf({"0.25"}), milliseconds(250));
    EXPECT_EQ(retryAfterOf({"0.2501"}), milliseconds(251));
    EXPECT_EQ(retryAfterOf({".5"}), milliseconds(500));
    EXPECT_EQ(retryAfterOf({"3."}), milliseconds(3000));
    EXPECT_EQ(retryAfterOf({"0"}), milliseconds(0));
    EXPECT_EQ(retryAfterOf({"0.0"}), milliseconds(0));
    EXPECT_EQ(retryAfterOf({"86400"}), longest);
    EXPECT_EQ(retryAfterOf({std::string(400, '9')}), longest);
    EXPECT_EQ(retryAfterOf({std::string(400, '9') + ".5"}), longest);
    EXPECT_EQ(retryAfterOf({"0." + std::string(400, '0') + "1"}), milliseconds(0));
    EXPECT_EQ(retryAfterOf({"1", "3", "2"}), milliseconds(3000));
    EXPECT_EQ(retryAfterOf({"1, 3"}), milliseconds(3000));
    EXPECT_EQ(retryAfterOf({"later", "3"}), milliseconds(3000));
    for (const char *unusable : {"", " ", "-1", "+1", "-0.5", "1e3", "0x10", "inf", "nan", "1.2.3",
                                 ".", "soon", "2 s", "Fri, 04 Dec 2026 22:00:00 GMT", "\xff\xfe"})
        EXPECT_EQ(retryAfterOf({unusable}), std::nullopt) << unusable;
    EXPECT_EQ(retryAfterOf({}), std::nullopt);
}

TEST(RietwerkCodec, OnlyTheValueOneStatesThatAnEndpointLeaves)
{
    for (const char *value : {"1", " 1 "}) {
        HttpHead head;
        head.fields.add("server-leaving", value);
        EXPECT_TRUE(adapter().codec().decodeAnswer(head).isLeaving) << value;
    }
    for (const char *value : {"", "0", "yes", "11"}) {
        HttpHead head;
        head.fields.add("Server-Leaving", value);
        EXPECT_FALSE(adapter().codec().decodeAnswer(head).isLeaving) << value;
        head.fields.add("Server-Leaving", "1");
        EXPECT_TRUE(adapter().codec().decodeAnswer(head).isLeaving) << value;
    }
}

TEST(RietwerkCodec, RefusalsCarryRetryAfter)
{
    const auto text = adapter().codec().encodeOwnAnswer(503, "r1", milliseconds(250), "busy", true);
    EXPECT_TRUE(text.starts_with("HTTP/1.1 503 Service Unavailable\r\n")) << text;
    EXPECT_NE(text.find("Retry-After: 0.25\r\n"), std::string::npos);
    EXPECT_NE(text.find("Connection: close\r\n"), std::string::npos);
    EXPECT_TRUE(text.ends_with("\r\n\r\nbusy"));
}

} // namespace almondmill::test
