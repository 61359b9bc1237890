// Case 6: an entry of another writer among those of the servers, then the final fault. Checks
// RECOVER, and notes whether a running router still learns that a server leaves.

#include "casesetup.h"
#include "record.h"
#include "router.h"
#include "store.h"

#include <atomic>
#include <list>
#include <vector>

namespace {

using namespace review;
using std::chrono::milliseconds;

constexpr int StorePort = 8200;
constexpr int ServerPort = 9000;
constexpr int RouterCount = 3;
constexpr int ServerCount = 4;

// Bounds of the site's sheet, in seconds.
constexpr double RecoveryBound = 12;
constexpr double DrainBound = 2;
constexpr milliseconds Heartbeat{1200};

/// How much longer than the drain bound the server that leaves goes on.
constexpr milliseconds ServesOn{1000};
constexpr milliseconds DownTime{1500};
constexpr milliseconds Work{30};
constexpr milliseconds RequestInterval{50};
constexpr milliseconds PhaseBefore{5000};
constexpr milliseconds PhaseAfter{8000};

const std::string Configuration =
        R"({"version":VERSION,"routes":[{"name":"herd-entry","host":"herd.example",)"
        R"("path_prefix":"/entry/","kind":"non_idempotent","timeout_ms":1200,)"
        R"("target_latency_ms":150,"priority":2,"service":"herd-book","max_attempts":1},)"
        R"({"name":"balance-read","host":"herd.example","path_prefix":"/balance/",)"
        R"("kind":"idempotent","timeout_ms":1200,"target_latency_ms":150,"priority":2,)"
        R"("service":"herd-book","max_attempts":2}],)"
        R"("services":[{"name":"herd-book","max_connections":200}],)"
        R"("limits":{"max_header_bytes":65536,"max_body_bytes":4194304,)"
        R"("header_timeout_ms":5000,"idle_timeout_ms":10000}})";

std::string configuration(int version)
{
    std::string text = Configuration;
    const std::string word = "VERSION";
    return text.replace(text.find(word), word.size(), std::to_string(version));
}

/// A booking server: registers and beats as the pages say, and answers each request after its work.
class BookingServer
{
public:
    BookingServer(PlatformStore &store, Record &record, int number, const std::string &ip)
        : m_store(store)
        , m_record(record)
        , m_id("i-book" + std::to_string(number))
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

    ~BookingServer()
    {
        m_stopped = true;
        m_beats.join();
    }

    BookingServer(const BookingServer &) = delete;
    BookingServer &operator=(const BookingServer &) = delete;

    const std::string &id() const { return m_id; }
    int lateArrivals() const { return m_lateArrivals; }

    /// Reports `draining`; the store's answer is the ack.
    void drain()
    {
        m_isDraining = true;
        beat();
        m_drainAck = m_record.now();
        m_record.write(m_id + " reports draining, and the store has acknowledged it");
    }

    /// Leaves: no new connection, and no entry.
    void leave()
    {
        m_stopped = true;
        m_server.close();
        m_store.remove("servers", "\"" + m_id + "\"");
        m_record.write(m_id + " has left");
    }

private:
    void beat()
    {
        const std::string state = m_isDraining ? "draining" : "ready";
        m_store.put("servers", "\"" + m_id + "\"",
                    R"({"service":"herd-book","address":")" + m_server.address()
                            + R"(","zone":"kochi-a","version":"v1","slots":6,"state":")" + state
                            + R"(","cold_remaining_ms":0,"sequence":)"
                            + std::to_string(++m_sequence) + R"(,"born":)" + std::to_string(m_born)
                            + "}");
    }

    bool serve(int socket, const HttpRequest &request)
    {
        const std::string requestId = request.field("request-id");
        const std::string echo = "Request-Id: " + requestId + "\r\n";
        const std::string expected = request.field("expect-instance");
        if (!expected.empty() && expected != m_id) {
            sendAnswer(socket, 421, "", echo);
            return true;
        }
        const double sinceAck = m_record.now() - m_drainAck;
        const bool isLate = m_isDraining && sinceAck > DrainBound;
        if (isLate)
            ++m_lateArrivals;
        m_record.write("run " + requestId + " at " + m_id
                       + (isLate ? ", " + std::to_string(sinceAck) + " s after the ack" : ""));
        std::this_thread::sleep_for(Work);
        sendAnswer(socket, 200, "entered", echo + "Server-Signature: s." + requestId + "\r\n");
        return true;
    }

    PlatformStore &m_store;
    Record &m_record;
    std::string m_id;
    long long m_born;
    std::atomic<int> m_sequence{0};
    std::atomic<bool> m_isDraining{false};
    std::atomic<double> m_drainAck{0};
    std::atomic<int> m_lateArrivals{0};
    std::atomic<bool> m_stopped{false};
    HttpServer m_server;
    std::thread m_beats;
};

/// Sends requests one after the other, each on a new connection to the next router, for a time.
class Clients
{
public:
    Clients(Record &record, std::string network)
        : m_record(record)
        , m_network(std::move(network))
    {}

    /// Returns the share of the requests that were served.
    double run(const std::string &phase, milliseconds length)
    {
        std::atomic<int> served{0};
        int sent = 0;
        std::vector<std::thread> requests;
        const auto end = Clock::now() + length;
        for (; Clock::now() < end; ++sent) {
            const std::string id = phase + std::to_string(sent);
            const int router = sent % RouterCount;
            requests.emplace_back([this, id, router, &served] { served += ask(id, router); });
            std::this_thread::sleep_for(RequestInterval);
        }
        for (std::thread &request : requests)
            request.join();
        m_record.write("phase " + phase + ": " + std::to_string(sent) + " requests sent, "
                       + std::to_string(served) + " served");
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }

private:
    int ask(const std::string &id, int router)
    {
        m_record.write("sent " + id + " to router " + std::to_string(router));
        const auto answer = callOnce(m_network + "." + std::to_string(31 + router),
                                     Router::CallerPort, "POST /entry/" + id,
                                     "Host: herd.example\r\nRequest-Id: " + id
                                             + "\r\nDeadline-Ms: 2500\r\nConnection: close\r\n",
                                     "a calf", milliseconds(2500));
        m_record.write("answer " + id + ": " + std::to_string(answer.status) + " " + answer.body);
        return answer.status == 200 && answer.isComplete ? 1 : 0;
    }

    Record &m_record;
    std::string m_network;
};

using Routers = std::list<Router>;

void startRouters(Routers &routers, const std::string &network, const std::string &store,
                  const std::string &folder)
{
    for (int number = 0; number < RouterCount; ++number)
        routers.emplace_back(RouterPlace{"front-kochi-a-" + std::to_string(number + 1),
                                         network + "." + std::to_string(31 + number), "kochi-a",
                                         store},
                             folder, "router-" + std::to_string(number));
}

bool areReady(const Routers &routers)
{
    for (const Router &router : routers) {
        if (!router.isReady())
            return false;
    }
    return true;
}

int play(Record &record)
{
    const std::string network = loopbackNetwork();
    const TemporaryFolder folder;
    PlatformStore store(network + ".1", StorePort);
    store.put("config", "\"main\"", configuration(1));
    std::list<BookingServer> servers;
    for (int number = 0; number < ServerCount; ++number)
        servers.emplace_back(store, record, number, network + "." + std::to_string(11 + number));
    Routers routers;
    startRouters(routers, network, store.address(), folder.path());
    if (!waitUntil([&] { return areReady(routers); }, milliseconds(15000)))
        return CouldNotRun;
    std::this_thread::sleep_for(milliseconds(4000)); // Until the servers' entries are read.
    Clients clients(record, network);
    const double before = clients.run("before-", PhaseBefore);
    if (before < 0.9)
        return CouldNotRun;

    if (hasTrouble()) {
        // Its name holds bytes that are no text, and it lacks fields: it names no server to use.
        store.put("servers", "\"desk-\xff\xfe\"", R"({"service":"herd-book","state":"ready"})");
        record.write("another writer creates an entry in kind servers");
    }
    std::this_thread::sleep_for(milliseconds(2000));
    BookingServer &leaving = servers.front();
    leaving.drain();
    clients.run("drain-", milliseconds(static_cast<int>(DrainBound * 1000)) + ServesOn);
    leaving.leave();

    store.put("config", "\"main\"", configuration(2));
    record.write("a desired state is acknowledged; all routers are killed");
    routers.clear();
    std::this_thread::sleep_for(DownTime);
    startRouters(routers, network, store.address(), folder.path());
    record.write("all routers are started again");
    const bool isBack = waitUntil([&] { return areReady(routers); }, milliseconds(15000));
    record.write(isBack ? "all routers say that they are ready" : "a router isn't ready");
    std::this_thread::sleep_for(milliseconds(static_cast<int>(RecoveryBound * 1000)));
    const double after = clients.run("after-", PhaseAfter);

    const bool isBroken = after < 0.25 && before >= 0.25;
    const std::string verdict = isBroken ? "broken" : "held";
    record.write("DRAIN: " + std::to_string(leaving.lateArrivals())
                 + " requests reached the server that leaves later than 2 s after the ack");
    record.write("RECOVER " + verdict + ": share served before the final fault "
                 + std::to_string(before) + ", later than 12 s after it " + std::to_string(after));
    return isBroken ? RuleBroken : RuleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return CouldNotRun;
    Record record(argv[1]);
    try {
        return play(record);
    } catch (const std::exception &error) {
        record.write(std::string("could not run: ") + error.what());
        return CouldNotRun;
    }
}
