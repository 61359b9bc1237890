// Guards the restart of all routers of a fleet: what it asks of the store must not grow faster than
// the fleet, since the store answers a limited number of calls a second and refuses the rest. Calls
// and messages are counted, not times.

#include "support/scriptedstore.h"

#include "almondmill/forward/forwardingcontext.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/storestatesync.h"
#include "almondmill/http/asyncsleep.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <vector>

namespace almondmill::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Endpoints = 20;

/// Longer than the time in which all routers have found the readers of the store.
constexpr milliseconds StartTime{4000};

constexpr milliseconds ChangeInterval{150};

std::string entry(std::uint64_t sequence, bool isDraining)
{
    return absl::StrCat(R"({"service":"s","address":"127.0.0.1:8000","zone":"dc-1","version":"1",)",
                        R"("slots":4,"state":")", isDraining ? "draining" : "ready",
                        R"(","cold_remaining_ms":0,"sequence":)", sequence,
                        R"(,"born":1700000000000,"models":[]})");
}

/// Routers that start together and pass on what they read from the store, without loss.
class RestartedFleet
{
public:
    explicit RestartedFleet(std::size_t routers)
    {
        for (std::size_t number = 0; number < Endpoints; ++number)
            write(number, false);
        for (std::size_t number = 0; number < routers; ++number)
            m_routers.push_back(std::make_unique<Router>(*this, number));
        for (auto &router : m_routers)
            router->sync->start();
        boost::asio::co_spawn(m_loop, changeEntries(), boost::asio::detached);
        m_loop.run_for(StartTime);
    }

    std::size_t lists(ObjectKind kind) const { return m_store.lists(kind); }
    std::size_t updates() const { return m_updates; }

    std::size_t routersThatKnowAllEndpoints() const
    {
        std::size_t count = 0;
        for (const auto &router : m_routers)
            count += router->context.directory.entries().size() == Endpoints ? 1 : 0;
        return count;
    }

private:
    struct Router
    {
        Router(RestartedFleet &fleet, std::size_t number)
            : context(fleet.m_loop, settings(number), PlatformAdapterRegistry::create("rietwerk"))
        {
            sync.emplace(context, fleet.m_store, [this, &fleet](auto registrations) {
                StoreUpdate update;
                update.origin = context.settings.name;
                update.registrations = std::move(registrations);
                fleet.broadcast(update);
            });
        }

        static ForwarderSettings settings(std::size_t number)
        {
            ForwarderSettings settings;
            settings.name = absl::StrCat("router-", number);
            settings.dataCentre = "dc-1";
            settings.adapter = "rietwerk";
            return settings;
        }

        ForwardingContext context;
        std::optional<StoreStateSync> sync;
    };

    void broadcast(const StoreUpdate &update)
    {
        ++m_updates;
        for (auto &router : m_routers) {
            if (router->context.settings.name != update.origin)
                boost::asio::post(m_loop, [&router, update] { router->sync->learn(update); });
        }
    }

    void write(std::size_t number, bool isDraining)
    {
        m_store.write(ObjectKind::Registrations, absl::StrCat("desk-", number),
                      entry(++m_sequence, isDraining));
    }

    boost::asio::awaitable<void> changeEntries()
    {
        for (std::size_t change = 0;; ++change) {
            co_await sleepFor(m_loop, ChangeInterval);
            write(change % Endpoints, change % 2 == 0);
        }
    }

    boost::asio::io_context m_loop;
    ScriptedStore m_store{m_loop};
    std::vector<std::unique_ptr<Router>> m_routers;
    std::size_t m_updates = 0;
    std::uint64_t m_sequence = 0;
};

class RouterRestart : public testing::TestWithParam<std::size_t>
{};

} // namespace

// Endpoints change while the routers start, so each router misses updates of the readers after its
// list. It reads just what it missed.
TEST_P(RouterRestart, EachRouterListsEachKindOnce)
{
    const RestartedFleet fleet(GetParam());
    EXPECT_EQ(fleet.lists(ObjectKind::Registrations), GetParam());
    EXPECT_EQ(fleet.lists(ObjectKind::RoutingConfiguration), GetParam());
    EXPECT_EQ(fleet.lists(ObjectKind::WeightsTargets), GetParam());
    EXPECT_EQ(fleet.routersThatKnowAllEndpoints(), GetParam());
    RecordProperty("updates", static_cast<int>(fleet.updates()));
}

INSTANTIATE_TEST_SUITE_P(Fleets, RouterRestart, testing::Values(30, 100, 300));

} // namespace almondmill::test
