#include "platformserver.h"

#include "almondmill/kernel/error.h"
#include "almondmill/kernel/httplisten.h"
#include "almondmill/kernel/ondemandthreadpool.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill::standin {

namespace {

using Json = nlohmann::json;

constexpr std::size_t WorkerThreads = 400;
constexpr std::chrono::milliseconds NoTimeout{0};
constexpr std::chrono::milliseconds PollInterval{20};
constexpr const char *JsonType = "application/json";
constexpr const char *BytesType = "application/octet-stream";

std::uint64_t parseNumber(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace

FaultMode parseFaultMode(const std::string &text)
{
    if (text == "none")
        return FaultMode::None;
    if (text == "outage")
        return FaultMode::Outage;
    if (text == "silent")
        return FaultMode::Silent;
    if (text == "slow")
        return FaultMode::Slow;
    if (text == "hold-answer")
        return FaultMode::HoldAnswer;
    if (text == "lose-answer")
        return FaultMode::LoseAnswer;
    throw Error("standin.101", "unknown platform fault mode '" + text + "'");
}

PlatformServer::PlatformServer(const std::string &address)
    : m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] { return new OnDemandThreadPool(WorkerThreads); };
    m_server->set_keep_alive_max_count(1);
    m_server->set_tcp_nodelay(true);
    addRoutes();
    m_port = bindWithBacklog(*m_server, address);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    waitUntilRunning(*m_server);
}

PlatformServer::~PlatformServer()
{
    m_stopping = true;
    m_server->stop();
    m_thread.join();
}

void PlatformServer::setFault(FaultMode mode, std::chrono::milliseconds delay)
{
    m_delayMs = delay.count();
    m_fault = mode;
}

void PlatformServer::setVms(std::vector<Vm> vms)
{
    const std::lock_guard<std::mutex> lock(m_vmsMutex);
    m_vms = std::move(vms);
}

void PlatformServer::addRoutes()
{
    addObjectRoutes();
    addControlRoutes();
}

void PlatformServer::addObjectRoutes()
{
    m_server->Get("/objects", [this](const httplib::Request &request, httplib::Response &response) {
        if (applyFault(request, response))
            return;
        const auto listed =
                std::get<ObjectList>(m_store.list(request.get_param_value("prefix"), NoTimeout));
        Json objects = Json::array();
        for (const StoredObject &object : listed.objects)
            objects.push_back(
                    {{"name", object.name}, {"value", object.value}, {"version", object.version}});
        response.set_content(Json{{"revision", listed.revision}, {"objects", objects}}.dump(),
                             JsonType);
    });
    m_server->Get(R"(/objects/(.+))",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      if (applyFault(request, response))
                          return;
                      const auto result = m_store.read(request.matches[1], NoTimeout);
                      if (const auto *object = std::get_if<StoredObject>(&result)) {
                          response.set_header("Object-Version", std::to_string(object->version));
                          response.set_content(object->value, BytesType);
                      } else {
                          response.status = 404;
                      }
                  });
    m_server->Put(R"(/objects/(.+))", [this](const httplib::Request &request,
                                             httplib::Response &response) {
        if (applyFault(request, response))
            return;
        const std::string name = request.matches[1];
        if (request.has_header("If-None-Match")) {
            finishUpdate(m_store.createIfAbsent(name, request.body, NoTimeout), response);
            return;
        }
        const auto expected = parseNumber(request.get_header_value("If-Match"));
        finishUpdate(m_store.update(name, request.body, expected, NoTimeout), response);
    });
    m_server->Delete(R"(/objects/(.+))", [this](const httplib::Request &request,
                                                httplib::Response &response) {
        if (applyFault(request, response))
            return;
        const auto expected = parseNumber(request.get_header_value("If-Match"));
        finishUpdate(m_store.remove(request.matches[1], expected, NoTimeout), response);
    });
    m_server->Get("/watch", [this](const httplib::Request &request, httplib::Response &response) {
        if (applyFault(request, response))
            return;
        const auto changes = std::get<ObjectChanges>(m_store.watch(
                request.get_param_value("prefix"), parseNumber(request.get_param_value("after")),
                std::chrono::milliseconds(parseNumber(request.get_param_value("wait_ms")))));
        if (m_fault == FaultMode::Outage) {
            response.status = 503;
            return;
        }
        response.set_content(Json{{"revision", changes.revision}, {"names", changes.names}}.dump(),
                             JsonType);
    });
}

void PlatformServer::addControlRoutes()
{
    m_server->Get("/vms", [this](const httplib::Request &request, httplib::Response &response) {
        if (applyFault(request, response))
            return;
        Json list = Json::array();
        const std::lock_guard<std::mutex> lock(m_vmsMutex);
        for (const Vm &vm : m_vms)
            list.push_back({{"address", vm.address}, {"leaving", vm.leaving}});
        response.set_content(list.dump(), JsonType);
    });
    m_server->Post("/switch", [this](const httplib::Request &request, httplib::Response &) {
        const Json json = Json::parse(request.body);
        setFault(parseFaultMode(json.at("mode")),
                 std::chrono::milliseconds(json.value("delay_ms", 0)));
    });
    m_server->Post("/vms", [this](const httplib::Request &request, httplib::Response &) {
        std::vector<Vm> vms;
        for (const Json &entry : Json::parse(request.body))
            vms.push_back({entry.at("address"), entry.value("leaving", false)});
        setVms(std::move(vms));
    });
}

bool PlatformServer::applyFault(const httplib::Request &request, httplib::Response &response)
{
    ++m_calls;
    switch (m_fault.load()) {
    case FaultMode::Outage:
        response.status = 503;
        return true;
    case FaultMode::Silent:
        if (request.method == "PUT")
            ++m_swallowedChanges;
        waitWhile(FaultMode::Silent);
        response.status = 503;
        return true;
    case FaultMode::Slow:
        std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs.load()));
        return false;
    case FaultMode::None:
    case FaultMode::HoldAnswer:
    case FaultMode::LoseAnswer:
        return false;
    }
    return false;
}

void PlatformServer::waitWhile(FaultMode mode) const
{
    while (m_fault == mode && !m_stopping)
        std::this_thread::sleep_for(PollInterval);
}

void PlatformServer::finishUpdate(const UpdateResult &result, httplib::Response &response)
{
    waitWhile(FaultMode::HoldAnswer);
    if (m_fault == FaultMode::LoseAnswer) {
        response.status = 500;
        return;
    }
    if (const auto *applied = std::get_if<Applied>(&result)) {
        response.set_header("Object-Version", std::to_string(applied->version));
        return;
    }
    response.status = 412;
    const auto &conflict = std::get<Conflict>(result);
    if (conflict.current) {
        response.set_header("Object-Version", std::to_string(conflict.current->version));
        response.set_content(conflict.current->value, BytesType);
    }
}

} // namespace almondmill::standin
