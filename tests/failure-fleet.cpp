#include "support/routerprocess.h"
#include "support/site.h"
#include "support/waituntil.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <csignal>

namespace almondmill::test {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t Routers = 5;

/// Five routers that discover each other through the first two as seeds.
class FleetFailures : public testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            m_routers.push_back(
                    std::make_unique<RouterProcess>(m_site.platformUrl(), std::string(), m_seeds));
            if (m_seeds.size() < 2)
                m_seeds.push_back(m_routers[i]->peersAddress());
        }
        for (std::size_t i = 0; i < Routers; ++i)
            ASSERT_TRUE(waitUntil([&] { return members(i).size() == Routers; }));
    }

    /// Incarnations of the members by address, from the router's `/dump`.
    nlohmann::json members(std::size_t router) const
    {
        httplib::Client client(m_routers[router]->operatorsUrl());
        const auto result = client.Get("/dump");
        nlohmann::json list = nlohmann::json::object();
        if (!result)
            return list;
        const auto dump = nlohmann::json::parse(result->body);
        for (const auto &entry : dump["parts"]["fleet"]["members"])
            list[entry["address"].get<std::string>()] = entry["incarnation"];
        return list;
    }

    bool sees(std::size_t router, std::size_t member) const
    {
        return members(router).contains(m_routers[member]->peersAddress());
    }

    bool allOthersSee(std::size_t member, bool live) const
    {
        for (std::size_t i = 0; i < Routers; ++i) {
            if (i != member && sees(i, member) != live)
                return false;
        }
        return true;
    }

    /// Members that the router has declared dead since it started.
    double lostMembers(std::size_t router) const
    {
        httplib::Client client(m_routers[router]->operatorsUrl());
        const auto result = client.Get("/metrics");
        const std::string name = "\nalmondmill_members_lost_total ";
        const auto found = result ? result->body.find(name) : std::string::npos;
        return found == std::string::npos ? 0 : std::stod(result->body.substr(found + name.size()));
    }

    Site m_site{0, 0};
    std::vector<std::string> m_seeds;
    std::vector<std::unique_ptr<RouterProcess>> m_routers;
};

} // namespace

TEST_F(FleetFailures, AKilledRouterIsRemovedEverywhereWithinTenSeconds)
{
    m_routers[4]->process().kill();
    EXPECT_TRUE(waitUntil([&] { return allOthersSee(4, false); }, 10s));
    for (std::size_t i = 0; i < 4; ++i)
        EXPECT_EQ(lostMembers(i), 1);
}

TEST_F(FleetFailures, APausedRouterRejoinsAndNoOtherIsRemoved)
{
    m_routers[1]->process().signal(SIGSTOP);
    ASSERT_TRUE(waitUntil([&] { return allOthersSee(1, false); }, 10s));
    m_routers[1]->process().signal(SIGCONT);
    EXPECT_TRUE(waitUntil([&] { return allOthersSee(1, true); }));
    EXPECT_TRUE(waitUntil([&] { return members(1).size() == Routers; }));
    for (const std::size_t router : {0U, 2U, 3U, 4U})
        EXPECT_EQ(lostMembers(router), 1);
    EXPECT_EQ(lostMembers(1), 0);
}

TEST_F(FleetFailures, ARestartAtTheSameAddressIsANewIncarnation)
{
    const std::string address = m_routers[2]->peersAddress();
    const auto before = members(0)[address];
    m_routers[2]->process().kill();
    m_routers[2]->restart();
    for (std::size_t i = 0; i < Routers; ++i) {
        EXPECT_TRUE(waitUntil([&] {
            const auto seen = members(i);
            return seen.size() == Routers && seen[address] != before;
        }));
    }
}

} // namespace almondmill::test
