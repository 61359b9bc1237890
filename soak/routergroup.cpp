#include "routergroup.h"

#include "settingstemplate.h"

#include "almondmill/config/textfile.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/httpclient.h"
#include "almondmill/kernel/steadynow.h"
#include "standins/faultproxy.h"
#include "support/loopback.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;

constexpr int CallersPort = 8100;
constexpr int ReadyPort = 8101;
constexpr int OperatorsPort = 8102;
constexpr int PeersPort = 8103;
constexpr int StoreLinkPort = 8104;
constexpr int CallerLinkPort = 8105;

/// Longest time from SIGTERM to the end of a process, as in the settings, and the tolerance with
/// which the end is detected.
constexpr std::chrono::seconds GraceTime{8};
constexpr milliseconds GraceSlack{500};

/// Until this time after its start a process may not have installed its signal handlers, so that a
/// signal ends it by default. It has accepted no connection by then.
constexpr milliseconds SignalHandlerSetupTime{1000};

constexpr milliseconds EndCheck{20};
constexpr milliseconds ReadyCheck{50};
constexpr milliseconds ReadyTimeout{300};

/// Values that the platform substitutes into the settings template.
nlohmann::json platformFields(const std::string &name, const std::string &ip,
                              const std::string &store)
{
    const auto at = [&](int port) { return absl::StrCat(ip, ":", port); };
    return {{"node_name", name},
            {"zone", "dc-1"},
            {"ip", ip},
            {"platform", {{"address", store}}},
            {"listen",
             {{"front", at(CallersPort)},
              {"ready", at(ReadyPort)},
              {"control", at(OperatorsPort)}}},
            {"internal_ports", {PeersPort, PeersPort}},
            {"limits", {{"max_fds", 2000}}},
            {"bounds",
             {{"config_apply_ms", 2000},
              {"drain_ms", 2000},
              {"grace_s", GraceTime.count()},
              {"version_ms", 8000},
              {"lease_ms", 3000},
              {"reuse_window_s", 10},
              {"retry_budget_ratio", 0.2},
              {"budget_min_retries", 100},
              {"budget_window_s", 10}}}};
}

} // namespace

struct RouterGroup::Router
{
    std::string name;
    std::string ip;
    std::string settingsFile;
    std::string logFile;
    std::unique_ptr<standin::FaultProxy> storeLink;
    std::unique_ptr<standin::FaultProxy> callerLink;
    std::unique_ptr<test::ChildProcess> process; ///< Null while a fault keeps it down.
    SteadyTime launchedAt;
};

RouterGroup::RouterGroup(boost::asio::io_context &loop, SoakHistory &history, std::string folder)
    : m_loop(loop)
    , m_history(history)
    , m_folder(std::move(folder))
{}

RouterGroup::~RouterGroup() = default;

void RouterGroup::start(std::size_t routers, const std::string &store)
{
    const std::string source = readTextFile(ALMONDMILL_SOURCE_DIR "/deploy/router.toml.template");
    for (std::size_t index = 0; index < routers; ++index) {
        auto router = std::make_unique<Router>();
        router->name = routerName(index);
        router->ip = test::nextLoopbackAddress();
        router->settingsFile = absl::StrCat(m_folder, "/", router->name, ".toml");
        router->logFile = absl::StrCat(m_folder, "/", router->name, ".log");
        router->storeLink = std::make_unique<standin::FaultProxy>(
                m_loop, absl::StrCat(router->ip, ":", StoreLinkPort), store);
        router->callerLink = std::make_unique<standin::FaultProxy>(
                m_loop, absl::StrCat(router->ip, ":", CallerLinkPort),
                absl::StrCat(router->ip, ":", CallersPort));
        std::ofstream(router->settingsFile) << fillTemplate(
                source, platformFields(router->name, router->ip, router->storeLink->address()));
        launch(*router);
        m_routers.push_back(std::move(router));
    }
}

standin::FaultProxy &RouterGroup::storeLink(std::size_t router)
{
    return *m_routers[router]->storeLink;
}

standin::FaultProxy &RouterGroup::callerLink(std::size_t router)
{
    return *m_routers[router]->callerLink;
}

std::vector<std::string> RouterGroup::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &router : m_routers)
        addresses.push_back(router->callerLink->address());
    return addresses;
}

boost::asio::awaitable<void> RouterGroup::kill(std::size_t index, milliseconds downtime)
{
    Router &router = *m_routers[index];
    if (!router.process)
        co_return;
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::RouterProcess, router.name, steadyNow());
    router.process.reset();
    co_await sleepFor(m_loop, downtime);
    launch(router);
    m_history.endDisturbance(disturbance, steadyNow());
}

boost::asio::awaitable<void> RouterGroup::stop(std::size_t index)
{
    Router &router = *m_routers[index];
    if (!router.process)
        co_return;
    const SteadyTime begun = steadyNow();
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::RouterProcess, router.name, begun, true);
    const auto process = std::move(router.process);
    process->signal(SIGTERM);
    const SteadyTime until = begun + GraceTime + GraceSlack;
    const bool ended = co_await waitForEnd(*process, until);
    const bool wasUndisturbed =
            m_history.isRouterUndisturbed(index, begun, steadyNow(), GraceTime, false);
    if (!ended && wasUndisturbed)
        m_history.runtimeViolations.push_back(
                {"shutdown", router.name + " is still running after its grace time"});
    const bool wasUp = begun - router.launchedAt > SignalHandlerSetupTime;
    if (ended && wasUp && process->exitCode() != 0)
        m_history.runtimeViolations.push_back(
                {"shutdown", absl::StrCat(router.name, " exited with code ", process->exitCode(),
                                          " after SIGTERM, expected 0")});
    process->kill();
    launch(router);
    m_history.endDisturbance(disturbance, steadyNow());
}

boost::asio::awaitable<void> RouterGroup::pause(std::size_t index, milliseconds duration)
{
    Router &router = *m_routers[index];
    if (!router.process)
        co_return;
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::RouterProcess, router.name, steadyNow());
    const pid_t paused = router.process->pid();
    router.process->signal(SIGSTOP);
    co_await sleepFor(m_loop, duration);
    if (router.process && router.process->pid() == paused)
        router.process->signal(SIGCONT);
    m_history.endDisturbance(disturbance, steadyNow());
}

void RouterGroup::reload(std::size_t index)
{
    const Router &router = *m_routers[index];
    if (router.process && steadyNow() - router.launchedAt > SignalHandlerSetupTime)
        router.process->signal(SIGHUP);
}

void RouterGroup::check(SteadyTime now)
{
    for (const auto &router : m_routers) {
        if (!router->process || !router->process->hasEnded())
            continue;
        m_history.runtimeViolations.push_back(
                {"keeps-running", absl::StrCat(router->name, " exited unexpectedly with code ",
                                               router->process->exitCode())});
        const auto disturbance =
                m_history.beginDisturbance(Disturbance::Scope::RouterProcess, router->name, now);
        launch(*router);
        m_history.endDisturbance(disturbance, now);
    }
}

boost::asio::awaitable<void> RouterGroup::stopAll()
{
    std::vector<std::unique_ptr<test::ChildProcess>> processes;
    for (const auto &router : m_routers) {
        if (!router->process)
            continue;
        router->process->signal(SIGTERM);
        processes.push_back(std::move(router->process));
    }
    const SteadyTime until = steadyNow() + GraceTime + GraceSlack;
    for (const auto &process : processes) {
        if (!co_await waitForEnd(*process, until))
            m_history.runtimeViolations.push_back(
                    {"shutdown",
                     "a router is still running after its grace time at the end of the soak"});
    }
}

boost::asio::awaitable<bool> RouterGroup::waitForEnd(test::ChildProcess &process, SteadyTime until)
{
    while (!process.hasEnded() && steadyNow() < until)
        co_await sleepFor(m_loop, EndCheck);
    co_return process.hasEnded();
}

boost::asio::awaitable<bool> RouterGroup::waitUntilReady(SteadyTime until)
{
    for (const auto &router : m_routers) {
        while (!co_await isReady(*router)) {
            if (steadyNow() >= until)
                co_return false;
            co_await sleepFor(m_loop, ReadyCheck);
        }
    }
    co_return true;
}

boost::asio::awaitable<bool> RouterGroup::isReady(const Router &router)
{
    HttpClient client(m_loop.get_executor(),
                      parseSocketAddress(absl::StrCat(router.ip, ":", ReadyPort)));
    const auto outcome =
            co_await client.call("GET", "/v1/ready", "", "", steadyNow() + ReadyTimeout);
    const auto *reply = std::get_if<HttpReply>(&outcome);
    co_return reply && reply->head.status == 200;
}

void RouterGroup::launch(Router &router)
{
    router.launchedAt = steadyNow();
    router.process = std::make_unique<test::ChildProcess>(
            "almondmilld", std::vector<std::string>{"--config", router.settingsFile},
            router.logFile);
}

} // namespace almondmill::soak
