// Guards what callers of an account get beyond its quota, that a request which did not run uses
// nothing of it, and that accounts without a quota need nothing for it.

#include "support/forwardingharness.h"
#include "support/rawendpoint.h"

#include <gtest/gtest.h>

#include <atomic>

namespace almondmill::test {

namespace {

/// A request every 20 s, so that no test waits for the next one.
constexpr AccountQuota OneRequest{0.05, 1, false, 0};

RoutingConfiguration withQuota(const AccountQuota &quota)
{
    RoutingConfiguration configuration = oneRouteOfEachKind();
    configuration.accounts[0].quota = quota;
    return configuration;
}

class CountingEndpoint
{
public:
    CountingEndpoint()
        : m_endpoint([this](int socket, const std::string &first, unsigned) {
            for (std::string call = first; !call.empty(); call = RawEndpoint::readCall(socket)) {
                ++m_requests;
                RawEndpoint::write(socket, signedAnswer(call, "200 OK", "x"));
            }
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }
    int requests() const { return m_requests; }

private:
    std::atomic<int> m_requests = 0;
    RawEndpoint m_endpoint;
};

std::string ask(const ForwardingHarness &harness, const std::string &moreHeaders = {})
{
    return sendRequest(harness, requestText("GET", "/any/x", moreHeaders));
}

bool isServed(const std::string &answer)
{
    return answer.starts_with("HTTP/1.1 200 ");
}

} // namespace

TEST(AccountQuotaRefusals, ARequestBeyondTheQuotaIsRefusedWithATimeToReturn)
{
    const CountingEndpoint endpoint;
    ForwardingHarness harness;
    harness.configure(withQuota(OneRequest));
    harness.addEndpoint("e1", "any", endpoint.address());
    EXPECT_TRUE(isServed(ask(harness)));
    for (int request = 0; request < 3; ++request) {
        const std::string refused = ask(harness);
        EXPECT_TRUE(refused.starts_with("HTTP/1.1 429 ")) << refused;
        EXPECT_GT(std::stod("0" + headerOf(refused, "Retry-After")), 0) << refused;
    }
    EXPECT_EQ(endpoint.requests(), 1);
}

TEST(AccountQuotaRefusals, AnAccountWithoutAQuotaNeedsNoDecision)
{
    const CountingEndpoint endpoint;
    ForwardingHarness harness;
    harness.configure(withQuota(OneRequest));
    harness.addEndpoint("e1", "any", endpoint.address());
    for (int request = 0; request < 5; ++request)
        EXPECT_TRUE(isServed(ask(harness, "Authorization: Bearer k2\r\n")));
    harness.onLoop([](ForwardingContext &context) {
        const std::string text = context.metrics.prometheusText();
        EXPECT_NE(text.find("almondmill_quota_requests_total{result=\"granted\"} 0"),
                  std::string::npos)
                << text;
        EXPECT_NE(text.find("almondmill_accounts_with_quota 1"), std::string::npos) << text;
    });
}

TEST(AccountQuotaRefusals, ARequestThatDidNotRunUsesNothing)
{
    const CountingEndpoint endpoint;
    ForwardingHarness harness;
    harness.configure(withQuota(OneRequest));
    EXPECT_TRUE(ask(harness).starts_with("HTTP/1.1 503 "));
    harness.addEndpoint("e1", "any", endpoint.address());
    EXPECT_TRUE(isServed(ask(harness)));
    EXPECT_TRUE(ask(harness).starts_with("HTTP/1.1 429 "));
}

TEST(AccountQuotaRefusals, ARequestWithoutATokenCountCountsAsTheAccountStates)
{
    const CountingEndpoint endpoint;
    ForwardingHarness harness;
    harness.configure(withQuota({1, 500, true, 200}));
    harness.addEndpoint("e1", "any", endpoint.address());
    EXPECT_TRUE(isServed(ask(harness)));
    EXPECT_TRUE(isServed(ask(harness)));
    EXPECT_TRUE(ask(harness).starts_with("HTTP/1.1 429 "));
    EXPECT_EQ(endpoint.requests(), 2);
}

} // namespace almondmill::test
