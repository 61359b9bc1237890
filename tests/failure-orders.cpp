#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace almondmill::test {

namespace {

constexpr std::size_t Engines = 4;

bool holdsLease(const RouterProcess &router)
{
    httplib::Client client(router.operatorsUrl());
    client.set_read_timeout(std::chrono::milliseconds(300));
    const auto result = client.Get("/dump");
    if (!result)
        return false;
    return nlohmann::json::parse(result->body)["parts"]["orders"]["holds_lease"];
}

bool allServe(const Site &site, const std::string &weights)
{
    for (std::size_t i = 0; i < Engines; ++i) {
        httplib::Client client("http://" + site.engineAddress(i));
        const auto result = client.Get("/v1/status");
        if (!result || nlohmann::json::parse(result->body)["weights"] != weights)
            return false;
    }
    return true;
}

} // namespace

// A lease holder that was suspended still believes that it holds the lease when it resumes. Guards
// against its orders reverting the weights that its successor has rolled out.
TEST(OrdersOfRouters, ASuspendedLeaseHolderIsReplacedAndChangesNothingWhenItResumes)
{
    Site site(Engines, 0);
    RouterProcess first(site.platformUrl());
    RouterProcess second(site.platformUrl(), {}, {first.peersAddress()});
    ASSERT_TRUE(first.waitUntilReady());
    ASSERT_TRUE(second.waitUntilReady());
    ASSERT_TRUE(waitUntil([&] { return holdsLease(first) || holdsLease(second); }));
    RouterProcess &holder = holdsLease(first) ? first : second;
    RouterProcess &other = &holder == &first ? second : first;

    site.inventory().models[0].weights = "w2";
    site.submit();
    ASSERT_TRUE(waitUntil([&] { return allServe(site, "w2"); }));

    holder.process().signal(SIGSTOP);
    site.inventory().models[0].weights = "w3";
    site.submit();
    ASSERT_TRUE(waitUntil([&] { return holdsLease(other); }));
    ASSERT_TRUE(waitUntil([&] { return allServe(site, "w3"); }));

    holder.process().signal(SIGCONT);
    ASSERT_TRUE(waitUntil([&] { return !holdsLease(holder); }));
    EXPECT_TRUE(holdsLease(other));
    EXPECT_TRUE(allServe(site, "w3"));
}

} // namespace almondmill::test
