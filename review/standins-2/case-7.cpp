// Case 7: the machine that orders new weights is removed for good, and the one that replaces it
// comes at another address under the same name. Checks ONE on the orders that each server gets.

#include "casesetup.h"
#include "record.h"
#include "router.h"
#include "store.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <list>
#include <optional>
#include <vector>

namespace {

using namespace review;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int ServerPort = 9000;
constexpr int ServerCount = 3;

/// `lease_ms` of the site's sheet, in seconds.
constexpr double LeaseTurn = 3;
constexpr milliseconds Heartbeat{1200};
constexpr milliseconds LoadTime{630};

/// How much later the new machine comes.
constexpr milliseconds ReplacementDelay{1000};
constexpr milliseconds RunAfter{12000};

const std::string Configuration =
        R"({"version":1,"routes":[{"name":"tally-verdict","host":"herd.example",)"
        R"("path_prefix":"/verdict/","kind":"streaming","resumable":true,"timeout_ms":5000,)"
        R"("target_latency_ms":600,"gap_target_ms":400,"priority":1,"service":"ledger-llm",)"
        R"("max_attempts":2,"sticky":true}],"services":[{"name":"ledger-llm",)"
        R"("max_connections":720,"engine":{"slots":64,"kv_capacity_tokens":109376,)"
        R"("token_kv_bytes":163840,"link_mbps":1100000,"max_in_flight":4}}],)"
        R"("limits":{"max_header_bytes":65536,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})";

/// An order as a server got it. `machine` is the one that sent it, whatever name it bears.
struct Order
{
    double at = 0;
    std::string machine;
    std::uint64_t fencing = 0;
};

/// Says which machine bears a name at the moment: one machine of a name runs at a time.
class Machines
{
public:
    void set(const std::string &name, const std::string &machine)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_byName[name] = machine;
    }

    std::string of(const std::string &name)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_byName[name];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_byName;
};

/// A model server: registers and beats, reports, and carries out orders for new weights.
class ModelServer
{
public:
    ModelServer(PlatformStore &store, Record &record, Machines &machines, int number,
                const std::string &ip)
        : m_store(store)
        , m_record(record)
        , m_machines(machines)
        , m_id("i-model" + std::to_string(number))
        , m_born(unixMilliseconds())
        , m_server(
                  ip, ServerPort,
                  [this](int socket, const HttpRequest &request) { return serve(socket, request); })
        , m_beats([this] {
            while (!m_stopped) {
                beat();
                std::this_thread::sleep_for(Heartbeat);
            }
        })
    {}

    ~ModelServer()
    {
        m_stopped = true;
        m_beats.join();
    }

    ModelServer(const ModelServer &) = delete;
    ModelServer &operator=(const ModelServer &) = delete;

    const std::string &id() const { return m_id; }

    std::vector<Order> orders()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_orders;
    }

private:
    void beat()
    {
        json models;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            models = json::array({{{"name", "m0"}, {"version", m_version}, {"adapters", {}}}});
        }
        const json entry{{"service", "ledger-llm"},
                         {"address", m_server.address()},
                         {"zone", "kochi-a"},
                         {"version", "v1"},
                         {"slots", 64},
                         {"state", "ready"},
                         {"cold_remaining_ms", 0},
                         {"sequence", ++m_beatCount},
                         {"born", m_born},
                         {"stage", "colocated"},
                         {"models", models}};
        m_store.put("servers", "\"" + m_id + "\"", entry.dump());
    }

    bool serve(int socket, const HttpRequest &request)
    {
        const std::string expected = request.field("expect-instance");
        if (!expected.empty() && expected != m_id)
            sendAnswer(socket, 421, "{}");
        else if (request.target == "/v1/report")
            sendAnswer(socket, 200, report(), "Content-Type: application/json\r\n");
        else if (request.target == "/v1/order")
            sendAnswer(socket, takeOrder(json::parse(request.body)), "{}");
        else
            sendAnswer(socket, 404, "");
        return true;
    }

    std::string report()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const json models = json::array({{{"name", "m0"}, {"version", m_version}}});
        return json{{"stage", "colocated"},   {"models", models},   {"busy", m_isBusy},
                    {"sequence", m_accepted}, {"queued", 0},        {"running", 0},
                    {"kv_used", 0},           {"kv_total", 109376}, {"handles", 0}}
                .dump();
    }

    int takeOrder(const json &order)
    {
        const std::string holder = order.at("holder");
        const std::uint64_t version = order.at("version");
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Order taken{m_record.now(), m_machines.of(holder), order.at("fencing_token")};
        m_orders.push_back(taken);
        m_record.write("order at " + m_id + " for version " + std::to_string(version) + ", holder "
                       + holder + ", epoch number " + std::to_string(taken.fencing)
                       + ", sent by machine " + taken.machine);
        const bool differs = order.contains("expected") && order.at("expected") != m_accepted;
        if (m_isBusy || differs)
            return 409;
        if (version == m_version)
            return 200;
        ++m_accepted;
        m_isBusy = true;
        std::thread([this, version] {
            std::this_thread::sleep_for(LoadTime);
            {
                const std::lock_guard<std::mutex> loaded(m_mutex);
                m_version = version;
                m_isBusy = false;
            }
            beat();
        }).detach();
        return 202;
    }

    PlatformStore &m_store;
    Record &m_record;
    Machines &m_machines;
    std::string m_id;
    long long m_born;
    std::atomic<int> m_beatCount{0};
    std::mutex m_mutex;
    std::uint64_t m_version = 1;
    std::uint64_t m_accepted = 0;
    bool m_isBusy = false;
    std::vector<Order> m_orders;
    std::atomic<bool> m_stopped{false};
    HttpServer m_server;
    std::thread m_beats;
};

/// What breaks ONE between two orders to a server, the later one last; empty if nothing does.
std::string faultOf(const Order &first, const Order &second)
{
    if (first.machine == second.machine)
        return {};
    if (first.fencing == second.fencing)
        return "two holders with one epoch number";
    if (second.fencing < first.fencing)
        return "a lower epoch number after a higher one";
    return {};
}

/// Whether the holders of three orders take turns: the first one is back within the bound.
bool takeTurns(const Order &first, const Order &between, const Order &last)
{
    return first.machine == last.machine && first.machine != between.machine
           && last.at - first.at < LeaseTurn;
}

int check(Record &record, std::list<ModelServer> &servers)
{
    int broken = 0;
    const auto report = [&](const ModelServer &server, const std::string &fault, const Order &first,
                            const Order &second) {
        ++broken;
        record.write("ONE broken at " + server.id() + ": " + fault + ": machine " + first.machine
                     + " at " + std::to_string(first.at) + " s, machine " + second.machine + " at "
                     + std::to_string(second.at) + " s");
    };
    for (ModelServer &server : servers) {
        const auto orders = server.orders();
        for (std::size_t later = 1; later < orders.size(); ++later) {
            const std::string fault = faultOf(orders[later - 1], orders[later]);
            if (!fault.empty())
                report(server, fault, orders[later - 1], orders[later]);
            if (later > 1 && takeTurns(orders[later - 2], orders[later - 1], orders[later]))
                report(server, "holders take turns within lease_ms", orders[later - 1],
                       orders[later]);
        }
    }
    if (broken == 0)
        record.write("ONE held");
    return broken == 0 ? RuleHeld : RuleBroken;
}

void nameWeights(PlatformStore &store, Record &record, int version)
{
    store.put("versions", "\"m0\"", R"({"model":"m0","version":)" + std::to_string(version) + "}");
    record.write("version " + std::to_string(version) + " is named");
}

/// The router that gave the orders so far.
std::optional<std::string> orderingMachine(std::list<ModelServer> &servers)
{
    for (ModelServer &server : servers) {
        const auto orders = server.orders();
        if (!orders.empty())
            return orders.back().machine;
    }
    return std::nullopt;
}

int play(Record &record)
{
    const std::string network = loopbackNetwork();
    const TemporaryFolder folder;
    // Never destroyed, as threads of connections use them until the end of the process.
    PlatformStore &store = *new PlatformStore(network + ".1", StorePort);
    store.put("config", "\"main\"", Configuration);
    nameWeights(store, record, 1);
    Machines &machines = *new Machines;
    auto &servers = *new std::list<ModelServer>;
    for (int number = 0; number < ServerCount; ++number)
        servers.emplace_back(store, record, machines, number,
                             network + "." + std::to_string(11 + number));
    std::list<Router> routers;
    const auto start = [&](const std::string &name, const std::string &ip) {
        machines.set(name, ip);
        record.write("machine " + ip + " starts, its node_name is " + name);
        routers.emplace_back(RouterPlace{name, ip, "kochi-a", store.address()}, folder.path(), ip);
    };
    start("front-kochi-a-1", network + ".31");
    start("front-kochi-a-2", network + ".32");
    const bool isReady =
            waitUntil([&] { return routers.front().isReady() && routers.back().isReady(); },
                      milliseconds(15000));
    if (!isReady)
        return CouldNotRun;
    std::this_thread::sleep_for(milliseconds(6000)); // Until they know the servers and each other.

    nameWeights(store, record, 2);
    if (!waitUntil([&] { return orderingMachine(servers).has_value(); }, milliseconds(15000)))
        return CouldNotRun;
    std::this_thread::sleep_for(milliseconds(200));
    if (hasTrouble()) {
        const std::string machine = orderingMachine(servers).value_or("");
        const bool isFirst = routers.front().place().ip == machine;
        Router &removed = isFirst ? routers.front() : routers.back();
        const std::string name = removed.place().name;
        removed.kill();
        record.write("machine " + machine + " is gone for good");
        std::this_thread::sleep_for(ReplacementDelay);
        start(name, network + ".41");
    } else {
        std::this_thread::sleep_for(ReplacementDelay);
    }
    nameWeights(store, record, 3);
    std::this_thread::sleep_for(RunAfter);
    return check(record, servers);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return CouldNotRun;
    Record &record = *new Record(argv[1]);
    int result = CouldNotRun;
    try {
        result = play(record);
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
    }
    std::_Exit(result);
}
