#include "deployment.h"

#include "channel.h"

#include <cstdlib>
#include <filesystem>
#include <map>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds ReadyTimeout{10000};
constexpr milliseconds PollInterval{50};

/// Time in which a ready router has read the endpoints' entries.
constexpr milliseconds RegistrationTime{1500};

constexpr int StoreMachine = 1;
constexpr int FirstEndpoint = 11;
constexpr int FirstRouter = 31;
constexpr int Desks = 2;

Json configuration()
{
    const Json verdict{{"name", "verdict"},
                       {"host", "reeds.example"},
                       {"path_prefix", "/verdict/"},
                       {"kind", "streaming"},
                       {"resumable", true},
                       {"timeout_ms", 5000},
                       {"target_latency_ms", 600},
                       {"gap_target_ms", 400},
                       {"priority", 1},
                       {"service", "models"},
                       {"max_attempts", 2},
                       {"public", false},
                       {"sticky", true}};
    const Json booking{{"name", "booking"},
                       {"host", "reeds.example"},
                       {"path_prefix", "/booking/"},
                       {"kind", "non_idempotent"},
                       {"timeout_ms", 1500},
                       {"target_latency_ms", 150},
                       {"priority", 2},
                       {"service", "desk"},
                       {"max_attempts", 1},
                       {"public", false},
                       {"sticky", false}};
    const Json engine{{"slots", 48},
                      {"kv_capacity_tokens", 98960},
                      {"token_kv_bytes", 163840},
                      {"link_mbps", 1100000},
                      {"stride", 1},
                      {"max_in_flight", 12},
                      {"pin_ms", 4000},
                      {"hold_ms", 2000},
                      {"handle_s", 5},
                      {"models", Json::array({{{"name", "reed"}}})}};
    return {{"version", 7},
            {"routes", Json::array({verdict, booking})},
            {"services",
             Json::array(
                     {{{"name", "models"},
                       {"health_path", "/health"},
                       {"max_connections", 600},
                       {"engine", engine}},
                      {{"name", "desk"}, {"health_path", "/health"}, {"max_connections", 200}}})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", Json::array({{{"name", "workshop"},
                                      {"api_keys", Json::array({"workshop-key"})},
                                      {"priority", 1},
                                      {"isolated", false}}})}};
}

} // namespace

Deployment::Deployment(Record &record, const DeploymentPlan &plan)
{
    std::string folder = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!::mkdtemp(folder.data()))
        throw std::runtime_error("no temporary folder");
    m_folder = folder;
    findAddresses();
    m_store = std::make_unique<MetadataStore>(address(StoreMachine, 0));
    m_store->put("config", "main", configuration());
    m_store->put("versions", "reed", {{"model", "reed"}, {"version", 1}});
    for (int index = 0; index < plan.engines; ++index) {
        EndpointPlan engine;
        engine.id = "engine-" + std::to_string(index + 1);
        engine.service = "models";
        engine.model = "reed";
        engine.crashingPart = plan.crashingPart;
        engine.crashesEarly = plan.crashesEarly;
        addEndpoint(record, engine);
    }
    for (int index = 0; index < Desks; ++index) {
        EndpointPlan desk;
        desk.id = "desk-" + std::to_string(index + 1);
        desk.service = "desk";
        addEndpoint(record, desk);
    }
    for (int index = 0; index < plan.routers; ++index)
        addRouter(index, plan.memoryMb);
}

void Deployment::addEndpoint(Record &record, EndpointPlan plan)
{
    plan.address = address(FirstEndpoint + static_cast<int>(m_endpoints.size()), 0);
    m_endpoints.push_back(std::make_unique<Endpoint>(std::move(plan), *m_store, record));
}

void Deployment::addRouter(int index, int memoryMb)
{
    const int machine = FirstRouter + index;
    const std::map<std::string, std::string> fields{
            {"node_name", "front-zone-" + std::to_string(index + 1)},
            {"zone", "zone-a"},
            {"ip", m_network + "." + std::to_string(machine)},
            {"platform.address", address(StoreMachine, 0)},
            {"listen.front", address(machine, 1)},
            {"listen.ready", address(machine, 2)},
            {"listen.control", address(machine, 3)},
            {"internal_ports.0", std::to_string(m_port + 4)},
            {"limits.max_fds", "2940"},
            {"limits.memory_mb", std::to_string(memoryMb)},
            {"bounds.config_apply_ms", "2000"},
            {"bounds.drain_ms", "2000"},
            {"bounds.grace_s", "8"},
            {"bounds.version_ms", "8000"},
            {"bounds.lease_ms", "3000"},
            {"bounds.reuse_window_s", "10"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_min_retries", "108"},
            {"bounds.budget_window_s", "10"}};
    m_routers.push_back(std::make_unique<RouterProcess>(m_folder, fields));
    m_routers.back()->start();
}

void Deployment::exit(int code)
{
    m_routers.clear();
    std::error_code ignored; // The folder is temporary.
    std::filesystem::remove_all(m_folder, ignored);
    std::_Exit(code);
}

std::string Deployment::address(int machine, int port) const
{
    return m_network + "." + std::to_string(machine) + ":" + std::to_string(m_port + port);
}

void Deployment::findAddresses()
{
    constexpr int Attempts = 50;
    constexpr int Ports = 5;
    std::random_device random;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        m_network = "127." + std::to_string(20 + random() % 200) + "."
                    + std::to_string(1 + random() % 250);
        m_port = static_cast<int>(20000 + random() % 10000);
        bool isFree = true;
        for (int port = 0; port < Ports; ++port)
            isFree = isFree && Listener::isFree(address(FirstRouter, port));
        if (isFree && Listener::isFree(address(StoreMachine, 0)))
            return;
    }
    throw std::runtime_error("no free addresses");
}

bool Deployment::isReady(RouterProcess &router, milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    Channel channel = Channel::connect(router.ready(), timeout);
    if (!channel.isOpen())
        return false;
    channel.send("GET /v1/ready HTTP/1.1\r\nHost: " + router.ready()
                         + "\r\nConnection: close\r\n\r\n",
                 deadline);
    const auto answer = channel.readHead(deadline);
    return answer && answer->status() == 200;
}

bool Deployment::waitUntilReady()
{
    const auto deadline = std::chrono::steady_clock::now() + ReadyTimeout;
    for (const auto &router : m_routers) {
        while (!isReady(*router, milliseconds(1000))) {
            if (std::chrono::steady_clock::now() >= deadline)
                return false;
            std::this_thread::sleep_for(PollInterval);
        }
    }
    std::this_thread::sleep_for(RegistrationTime);
    return true;
}

std::vector<Endpoint::Run> Deployment::runs() const
{
    std::vector<Endpoint::Run> all;
    for (const auto &endpoint : m_endpoints) {
        const auto runs = endpoint->runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

} // namespace review
