#include "serviceserver.h"

#include "almondmill/endpoint/headernames.h"
#include "almondmill/kernel/httplisten.h"
#include "almondmill/kernel/ondemandthreadpool.h"
#include "almondmill/kernel/randomid.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t WorkerThreads = 200;

/// Longest time for which a call with the fault "swap" waits for a second call.
constexpr std::chrono::seconds SwapTimeout{10};

constexpr const char *JsonType = "application/json";

} // namespace

ServiceServer::ServiceServer(const std::string &address)
    : m_incarnation(randomIncarnation())
    , m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] { return new OnDemandThreadPool(WorkerThreads); };
    m_server->set_keep_alive_max_count(1);
    m_server->set_tcp_nodelay(true);
    addRoutes();
    m_port = bindWithBacklog(*m_server, address);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    waitUntilRunning(*m_server);
}

ServiceServer::~ServiceServer()
{
    m_server->stop();
    m_thread.join();
}

void ServiceServer::addRoutes()
{
    m_server->Get("/counts", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard<std::mutex> lock(m_mutex);
        response.set_content(Json(m_counts).dump(), JsonType);
    });
    m_server->Get("/v1/status", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(
                Json{{"incarnation", m_incarnation}, {"in_flight", 0}, {"leaving", false}}.dump(),
                JsonType);
    });
    m_server->Post("/switch", [this](const httplib::Request &request, httplib::Response &) {
        const Json json = Json::parse(request.body);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_fault = {json.value("mode", "none"), json.value("delay_ms", 0U), json.value("times", 1U)};
    });
    const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
        run(request, response);
    };
    m_server->Get(".*", handler);
    m_server->Post(".*", handler);
    m_server->Put(".*", handler);
    m_server->Delete(".*", handler);
}

void ServiceServer::run(const httplib::Request &request, httplib::Response &response)
{
    const Json json = Json::parse(request.body, nullptr, false);
    const std::string operation = json.is_object() ? json.value("operation", "") : "";
    unsigned count = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        count = ++m_counts[operation];
    }
    const Fault fault = consumeFault();
    std::this_thread::sleep_for(std::chrono::milliseconds(fault.delayMs));
    Answer answer;
    answer.attemptId = request.get_header_value(AttemptIdHeader);
    answer.body = Json{{"operation", operation},
                       {"runs", count},
                       {"target", request.target},
                       {"note", request.get_header_value("X-Note")}}
                          .dump();
    if (fault.mode == "swap")
        answer = swapAnswers(answer);
    response.set_header(AttemptIdHeader, answer.attemptId);
    response.set_header(IncarnationHeader, std::to_string(m_incarnation));
    response.set_header("Location", "/booking/slots/" + operation);
    const std::string body = answer.body;
    if (fault.mode != "reset-before-answer" && fault.mode != "reset-half-way") {
        response.set_content(body, JsonType);
        return;
    }
    const std::size_t sent = fault.mode == "reset-half-way" ? body.size() / 2 : 0;
    response.set_content_provider(
            body.size(), JsonType,
            [body, sent](std::size_t offset, std::size_t, httplib::DataSink &sink) {
                if (offset >= sent)
                    return false;
                return sink.write(body.data(), sent);
            });
}

ServiceServer::Answer ServiceServer::swapAnswers(const Answer &answer)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_swapPair.push_back(answer);
    if (m_swapPair.size() == 2) {
        ++m_swapCount;
        m_pairSwapped.notify_all();
        return m_swapPair.front();
    }
    const unsigned before = m_swapCount;
    m_pairSwapped.wait_for(lock, SwapTimeout, [&] { return m_swapCount != before; });
    Answer other = m_swapPair.back();
    m_swapPair.clear();
    return other;
}

ServiceServer::Fault ServiceServer::consumeFault()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fault.times == 0)
        return {};
    --m_fault.times;
    return m_fault;
}

} // namespace almondmill::standin
