// Guards the reading of numbers in settings and in documents of the platform: a bound that is
// written with a fraction or an exponent must not stop a router, and a limit must never become
// higher than it was written.

#include "almondmill/config/duration.h"
#include "almondmill/forward/forwardersettings.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/inputerror.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

std::string settingsWith(const std::string &key, const std::string &value)
{
    return "name = \"front-1\"\ndata_centre = \"a\"\n[forwarding]\nadapter = \"rietwerk\"\n"
           "store = \"10.0.0.1:80\"\ncallers_listen = \"10.0.0.2:81\"\n"
           "ready_listen = \"10.0.0.2:82\"\npeers_listen = \"10.0.0.2:83\"\n"
           "[forwarding.bounds]\n"
           + key + " = " + value + "\n";
}

bool isRejected(const std::string &text)
{
    try {
        parseForwarderSettings(text, "router.toml");
        return false;
    } catch (const InputError &error) {
        return error.findings().text().find("router.toml:10: forwarding.bounds.")
               != std::string::npos;
    }
}

/// A non-negative number as a person or a template may write it: 33, 33.0, 33.157894 or 3.3e1.
std::string writtenForm(double value)
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return absl::StrFormat("%.6f", value);
    case 1:
        return absl::StrFormat("%.6e", value);
    default:
        return absl::StrFormat("%.0f", std::floor(value));
    }
}

constexpr const char *Limits =
        R"({"version":7,"routes":[{"name":"r1","host":"h","path_prefix":"/a/",
"kind":"idempotent","timeout_ms":5000,"service":"s1","max_attempts":2}],
"services":[{"name":"s1","max_connections":600}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000}})";

const PlatformAdapter &adapter()
{
    static const auto instance = PlatformAdapterRegistry::create("rietwerk");
    return *instance;
}

/// The document `Limits` with another value at the JSON pointer `where`.
std::string limitsWith(const char *where, const nlohmann::json &value)
{
    auto object = nlohmann::json::parse(Limits);
    object[nlohmann::json::json_pointer(where)] = value;
    return object.dump();
}

} // namespace

RC_GTEST_PROP(NumbersProperty, ABoundInAnyWrittenFormIsRoundedDown, ())
{
    const double value = *rc::gen::inRange(0, 1000000000) / 1000.0;
    const std::string text = writtenForm(value);
    const double written = std::stod(text);
    const auto settings =
            parseForwarderSettings(settingsWith("retries_always", text), "router.toml");
    RC_ASSERT(settings.retryBudgetMinRetries == std::floor(written));
}

RC_GTEST_PROP(NumbersProperty, ADurationInAnyWrittenFormIsRoundedDown, ())
{
    const double value = *rc::gen::inRange(0, 100000000) / 1000.0;
    const std::string text = writtenForm(value);
    const auto duration = parseDuration(text + "ms");
    RC_ASSERT(duration);
    RC_ASSERT(duration->count() == std::floor(std::stod(text)));
    RC_ASSERT(parseDuration(text + "s"));
    RC_ASSERT(std::abs(static_cast<double>(parseDuration(text + "s")->count())
                       - std::stod(text) * 1000)
              <= 1);
}

TEST(Numbers, WhatIsNoNumberOrOutOfRangeIsReportedWithItsPlace)
{
    for (const char *value :
         {"nan", "inf", "-inf", "-1", "-0.5", "1e300", "true", "\"33\"", "[33]", "2097152"})
        EXPECT_TRUE(isRejected(settingsWith("retries_always", value))) << value;
    for (const char *value : {"nan", "inf", "-0.1", "1.5", "true", "\"0.2\""})
        EXPECT_TRUE(isRejected(settingsWith("retry_share", value))) << value;
    for (const char *value : {"8", "\"8\"", "\"s\"", "\"-8s\"", "\"nans\"", "\"infs\"",
                              "\"1e300s\"", "\"8 s\"", "\"0x8s\"", "\"9000h\""})
        EXPECT_TRUE(isRejected(settingsWith("shutdown_grace", value))) << value;
}

TEST(Numbers, FractionsInThePlatformsDocumentsAreRoundedDown)
{
    const auto decoded = adapter().decodeRouting(limitsWith("/routes/0/timeout_ms", 4999.9));
    EXPECT_EQ(decoded.routes[0].timeout, milliseconds(4999));
    EXPECT_EQ(adapter()
                      .decodeRouting(limitsWith("/routes/0/max_attempts", 2.9))
                      .routes[0]
                      .maxAttempts,
              2U);
    EXPECT_EQ(adapter()
                      .decodeRouting(limitsWith("/limits/max_header_bytes", 16384.7))
                      .bounds.maxHeaderBytes,
              16384U);
}

TEST(Numbers, HugeNumbersInThePlatformsDocumentsAreLimited)
{
    constexpr auto Huge = std::numeric_limits<std::uint64_t>::max();
    for (const nlohmann::json &value : {nlohmann::json(1e300), nlohmann::json(Huge)}) {
        const auto decoded = adapter().decodeRouting(limitsWith("/routes/0/timeout_ms", value));
        EXPECT_EQ(decoded.routes[0].timeout, milliseconds(MaxDuration)) << value;
        const auto attempts = adapter().decodeRouting(limitsWith("/routes/0/max_attempts", value));
        EXPECT_EQ(attempts.routes[0].maxAttempts, std::numeric_limits<std::uint32_t>::max());
    }
}

TEST(Numbers, NegativeNumbersAndOtherTypesInThePlatformsDocumentsAreErrors)
{
    for (const nlohmann::json &value :
         {nlohmann::json(-1), nlohmann::json(-0.5), nlohmann::json("5000"), nlohmann::json(true),
          nlohmann::json::array(), nlohmann::json()}) {
        EXPECT_THROW(adapter().decodeRouting(limitsWith("/routes/0/timeout_ms", value)), Error)
                << value;
        EXPECT_THROW(adapter().decodeRouting(limitsWith("/limits/max_body_bytes", value)), Error)
                << value;
    }
}

} // namespace almondmill::test
