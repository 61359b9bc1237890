// Measures the overhead of coordination in idle fleets of several sizes: network bytes, processor
// time, memory and platform calls. Also measures the time until a new configuration is in force at
// every router.

#include "support/routerprocess.h"
#include "support/site.h"

#include "almondmill/kernel/httplisten.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <net/if.h>
#include <sched.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace almondmill;
using namespace almondmill::test;
using SteadyClock = std::chrono::steady_clock;

constexpr int StatusOk = 200;
constexpr std::size_t EndpointsPerRouter = 2;
constexpr std::chrono::seconds SettleTime{15};
constexpr std::chrono::seconds IdleTime{20};
constexpr std::chrono::milliseconds PollStep{5};
constexpr std::chrono::seconds WaitTimeout{60};
constexpr std::size_t StatusThreads = 260; ///< One for each kept-alive connection.
constexpr std::size_t MaxKeptAliveRequests = 100000;
constexpr const char *StatusPort = ":8100";
constexpr const char *ThreadLimitSettings = "[limits]\nmax_requests = 50\ncaller_threads = 100\n";

/// Moves this process and its children to a network namespace of their own, so that the byte count
/// of the loopback interface covers their traffic only.
bool isolateLoopback()
{
    if (unshare(CLONE_NEWNET) != 0)
        return false;
    const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    ifreq request{};
    std::strcpy(request.ifr_name, "lo");
    request.ifr_flags = IFF_UP | IFF_RUNNING;
    const bool up = ioctl(descriptor, SIOCSIFFLAGS, &request) == 0;
    close(descriptor);
    return up;
}

/// Bytes sent over the loopback, TCP and IP headers included.
double loopbackBytes()
{
    std::ifstream in("/proc/self/net/dev");
    std::string line;
    while (std::getline(in, line)) {
        std::istringstream fields(line);
        std::string name;
        double bytes = 0;
        fields >> name >> bytes;
        if (name == "lo:")
            return bytes;
    }
    return 0;
}

double processorSeconds(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(in, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMb(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    in >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/// Answers the status probes of all endpoints of the benchmark.
class StatusResponder
{
public:
    StatusResponder()
    {
        m_server.Get("/v1/status", [](const httplib::Request &, httplib::Response &response) {
            response.set_content(
                    R"({"incarnation":7,"weights":"w1","in_flight":0,"leaving":false})",
                    "application/json");
        });
        m_server.new_task_queue = [] { return new httplib::ThreadPool(StatusThreads); };
        m_server.set_keep_alive_max_count(MaxKeptAliveRequests);
        bindWithBacklog(m_server, std::string("0.0.0.0") + StatusPort);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        waitUntilRunning(m_server);
    }
    ~StatusResponder()
    {
        m_server.stop();
        m_thread.join();
    }
    StatusResponder(const StatusResponder &) = delete;
    StatusResponder &operator=(const StatusResponder &) = delete;

private:
    httplib::Server m_server;
    std::thread m_thread;
};

class Fleet
{
public:
    Fleet(std::size_t routers, std::size_t endpoints)
    {
        for (std::size_t i = 0; i < endpoints; ++i) {
            Endpoint endpoint;
            endpoint.name = "engine-" + std::to_string(i);
            endpoint.address = "127.250." + std::to_string(i / 250) + "."
                               + std::to_string(1 + i % 250) + StatusPort;
            endpoint.dataCentre = "a";
            endpoint.model = m_site.inventory().models[0].name;
            m_site.inventory().endpoints.push_back(endpoint);
        }
        m_site.submit();
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < routers; ++i) {
            m_routers.push_back(std::make_unique<RouterProcess>(m_site.platformUrl(),
                                                                ThreadLimitSettings, seeds));
            if (seeds.size() < 3)
                seeds.push_back(m_routers[i]->peersAddress());
        }
    }

    std::size_t size() const { return m_routers.size(); }
    Site &site() { return m_site; }
    pid_t pid(std::size_t router) const { return m_routers[router]->process().pid(); }

    nlohmann::json dump(std::size_t router) const
    {
        httplib::Client client(m_routers[router]->operatorsUrl());
        const auto result = client.Get("/dump");
        if (!result)
            return nlohmann::json::object();
        if (result->status != StatusOk) {
            std::cerr << "/dump: status " << result->status << " "
                      << result->get_header_value("EXCEPTION_WHAT") << "\n";
            return nlohmann::json::object();
        }
        return nlohmann::json::parse(result->body);
    }

    /// Heartbeat payload bytes that all routers sent, without the overhead of gRPC and TCP.
    double heartbeatBytes() const
    {
        double total = 0;
        const std::string name = "\nalmondmill_heartbeat_bytes_total{direction=\"sent\"} ";
        for (const auto &router : m_routers) {
            httplib::Client client(router->operatorsUrl());
            const auto result = client.Get("/metrics");
            const auto found = result ? result->body.find(name) : std::string::npos;
            if (found != std::string::npos)
                total += std::stod(result->body.substr(found + name.size()));
        }
        return total;
    }

    bool waitUntilJoined() const
    {
        const auto end = SteadyClock::now() + WaitTimeout;
        for (std::size_t i = 0; i < size(); ++i) {
            while (dump(i)["parts"]["fleet"]["members"].size() != size()) {
                if (SteadyClock::now() > end)
                    return false;
                std::this_thread::sleep_for(PollStep);
            }
        }
        return true;
    }

    /// Milliseconds until the version is in force at every router. Negative if any router does not
    /// reach it within the time limit.
    double waitForVersion(std::uint64_t version) const
    {
        const auto start = SteadyClock::now();
        std::atomic<bool> timedOut{false};
        std::vector<std::thread> watchers;
        for (std::size_t i = 0; i < size(); ++i) {
            watchers.emplace_back([this, i, version, start, &timedOut] {
                while (dump(i).value("config_version", std::uint64_t{0}) < version && !timedOut) {
                    timedOut = timedOut || SteadyClock::now() - start > WaitTimeout;
                    std::this_thread::sleep_for(PollStep);
                }
            });
        }
        for (std::thread &watcher : watchers)
            watcher.join();
        return timedOut ? -1
                        : std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
                                  .count();
    }

private:
    Site m_site{0, 0};
    std::vector<std::unique_ptr<RouterProcess>> m_routers;
};

double sumOver(const Fleet &fleet, double (*measure)(pid_t))
{
    double total = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        total += measure(fleet.pid(i));
    return total;
}

/// Resident memory of a router without peers.
double loneResidentMb()
{
    const Fleet fleet(1, EndpointsPerRouter);
    std::this_thread::sleep_for(SettleTime);
    return residentMb(fleet.pid(0));
}

void measure(std::size_t routers, double loneMb, bool isolated)
{
    Fleet fleet(routers, routers * EndpointsPerRouter);
    if (!fleet.waitUntilJoined()) {
        std::cout << "fleet nodes=" << routers << " never joined\n";
        return;
    }
    std::this_thread::sleep_for(SettleTime);
    const double payloadBefore = fleet.heartbeatBytes();
    const double coreBefore = sumOver(fleet, processorSeconds);
    const double bytesBefore = loopbackBytes();
    const auto callsBefore = fleet.site().platform().calls();
    std::this_thread::sleep_for(IdleTime);
    const auto calls = fleet.site().platform().calls() - callsBefore;
    const double bytes = loopbackBytes() - bytesBefore;
    const double core = sumOver(fleet, processorSeconds) - coreBefore;
    const double payload = fleet.heartbeatBytes() - payloadBefore;
    const double nodes = static_cast<double>(routers);
    const double nodeSeconds = nodes * std::chrono::duration<double>(IdleTime).count();
    const double resident = sumOver(fleet, residentMb) / nodes;
    fleet.site().rules().clientAccounts[0].maxConcurrent += 1;
    const double inForce = fleet.waitForVersion(fleet.site().submit());
    std::cout << "fleet nodes=" << routers << " bytes_per_s_node="
              << (isolated ? std::to_string(static_cast<int>(bytes / nodeSeconds)) : "unknown")
              << " heartbeat_payload_bytes_per_s_node=" << payload / nodeSeconds
              << " core_pct_node=" << 100 * core / nodeSeconds
              << " control_mb_node=" << resident - loneMb << " resident_mb_node=" << resident
              << " platform_calls_per_s="
              << static_cast<double>(calls) / std::chrono::duration<double>(IdleTime).count()
              << " config_in_force_ms=" << inForce << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::stoul(argv[i]));
    if (sizes.empty())
        sizes = {14, 28, 56};
    const bool isolated = isolateLoopback();
    if (!isolated)
        std::cout << "cannot isolate the loopback interface: bytes including headers are not "
                     "measured\n";
    const StatusResponder responder;
    const double loneMb = loneResidentMb();
    std::cout << "fleet nodes=1 resident_mb_node=" << loneMb << std::endl;
    for (const std::size_t size : sizes)
        measure(size, loneMb, isolated);
}
