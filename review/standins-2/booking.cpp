#include "booking.h"

#include "casesetup.h"

#include <utility>
#include <vector>

namespace review {

namespace {

using std::chrono::milliseconds;

constexpr int ServerPort = 9000;
constexpr int FirstRouterHost = 31;
constexpr milliseconds Heartbeat{1200};
constexpr milliseconds Work{30};
constexpr milliseconds RequestInterval{50};
constexpr milliseconds Deadline{2500};

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

} // namespace

std::string bookingConfiguration(int version)
{
    std::string text = Configuration;
    const std::string word = "VERSION";
    return text.replace(text.find(word), word.size(), std::to_string(version));
}

BookingServer::BookingServer(PlatformStore &store, Record &record, int number,
                             const std::string &ip)
    : m_store(store)
    , m_record(record)
    , m_id("i-book" + std::to_string(number))
    , m_born(unixMilliseconds())
    , m_server(ip, ServerPort,
               [this](int socket, const HttpRequest &request) { return serve(socket, request); })
    , m_beats([this] {
        while (!m_stopped) {
            beat();
            std::this_thread::sleep_for(Heartbeat);
        }
    })
{}

BookingServer::~BookingServer()
{
    m_stopped = true;
    m_beats.join();
}

void BookingServer::drain()
{
    m_isDraining = true;
    beat();
    m_drainAck = m_record.now();
    m_record.write(m_id + " reports draining, and the store has acknowledged it");
}

void BookingServer::leave()
{
    m_stopped = true;
    m_server.close();
    m_store.remove("servers", "\"" + m_id + "\"");
    m_record.write(m_id + " has left");
}

void BookingServer::beat()
{
    const std::string state = m_isDraining ? "draining" : "ready";
    m_store.put("servers", "\"" + m_id + "\"",
                R"({"service":"herd-book","address":")" + m_server.address()
                        + R"(","zone":"kochi-a","version":"v1","slots":6,"state":")" + state
                        + R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(++m_sequence)
                        + R"(,"born":)" + std::to_string(m_born) + "}");
}

bool BookingServer::serve(int socket, const HttpRequest &request)
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

Clients::Clients(Record &record, std::string network, int routers)
    : m_record(record)
    , m_network(std::move(network))
    , m_routers(routers)
{}

double Clients::run(const std::string &phase, milliseconds length)
{
    std::atomic<int> served{0};
    int sent = 0;
    std::vector<std::thread> requests;
    const auto end = Clock::now() + length;
    for (; Clock::now() < end; ++sent) {
        const std::string id = phase + std::to_string(sent);
        const int router = sent % m_routers;
        requests.emplace_back([this, id, router, &served] { served += ask(id, router) ? 1 : 0; });
        std::this_thread::sleep_for(RequestInterval);
    }
    for (std::thread &request : requests)
        request.join();
    m_record.write("phase " + phase + ": " + std::to_string(sent) + " requests sent, "
                   + std::to_string(served) + " served");
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

bool Clients::ask(const std::string &id, int router)
{
    m_record.write("sent " + id + " to router " + std::to_string(router));
    const auto answer =
            callOnce(m_network + "." + std::to_string(FirstRouterHost + router), Router::CallerPort,
                     "POST /entry/" + id,
                     "Host: herd.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: "
                             + std::to_string(Deadline.count()) + "\r\nConnection: close\r\n",
                     "a calf", Deadline);
    const std::string what = answer.status == 0 ? "none" : std::to_string(answer.status);
    m_record.write("answer " + id + ": " + what + " " + answer.body);
    return answer.status == 200 && answer.isComplete;
}

RouterPlace bookingPlace(int number, const std::string &network, const std::string &store)
{
    return {"front-kochi-a-" + std::to_string(number + 1),
            network + "." + std::to_string(FirstRouterHost + number), "kochi-a", store};
}

bool areReady(const Routers &routers)
{
    for (const Router &router : routers) {
        if (!router.isReady())
            return false;
    }
    return true;
}

} // namespace review
