#include "almondmill/request/operatorapicomponent.h"

#include "almondmill/kernel/components.h"
#include "almondmill/kernel/httplisten.h"
#include "almondmill/kernel/node.h"
#include "almondmill/kernel/ondemandthreadpool.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace almondmill {

namespace {

using Json = nlohmann::json;

constexpr std::size_t OperatorThreads = 16;

Json describe(const EndpointState &state, SteadyTime now)
{
    return {{"name", state.endpoint().name},
            {"address", state.endpoint().address},
            {"incarnation", state.incarnation()},
            {"in_flight", state.inFlight()},
            {"reported_load", state.reportedLoad()},
            {"leaving", state.leaving() || state.endpoint().leaving},
            {"takes_work", state.takesWork(now)}};
}

} // namespace

OperatorApiComponent::OperatorApiComponent(Node &node)
    : m_node(node)
    , m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [] { return new OnDemandThreadPool(OperatorThreads); };
    m_server->Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    m_server->Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool configured = m_node.endpoints.version() != 0;
        const char *reason = "ready\n";
        if (m_node.draining)
            reason = "draining\n";
        else if (!configured)
            reason = "no configuration is in force yet\n";
        response.status = configured && !m_node.draining ? 200 : 503;
        response.set_content(reason, "text/plain");
    });
    m_server->Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_node.metrics.prometheusText(), "text/plain; version=0.0.4");
    });
    m_server->Get("/dump", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(dumpAll(), "application/json");
    });
    m_server->Post("/drain", [this](const httplib::Request &, httplib::Response &) {
        m_node.draining = true;
    });
    m_server->Post("/undrain", [this](const httplib::Request &, httplib::Response &) {
        m_node.draining = false;
    });
    m_port = bindWithBacklog(*m_server, node.settings.operatorsListen);
}

OperatorApiComponent::~OperatorApiComponent()
{
    stop();
}

void OperatorApiComponent::dump(nlohmann::json &object) const
{
    object["port"] = m_port;
}

void OperatorApiComponent::start()
{
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    waitUntilRunning(*m_server);
}

void OperatorApiComponent::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

std::string OperatorApiComponent::dumpAll() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto set = m_node.endpoints.snapshot();
    Json endpoints = Json::array();
    for (const auto &state : set->all())
        endpoints.push_back(describe(*state, now));
    const Json all{{"name", m_node.settings.name},
                   {"data_centre", m_node.settings.dataCentre},
                   {"incarnation", m_node.incarnation},
                   {"config_version", set->configuration().version()},
                   {"draining", m_node.draining.load()},
                   {"in_flight", m_node.inFlight.load()},
                   {"endpoints", endpoints},
                   {"parts", m_node.components ? m_node.components->dump() : Json::object()}};
    return all.dump(2) + "\n";
}

namespace {

const ComponentRegistry::Registrar OperatorFrontRegistrar("operators", [](Node &node) {
    return std::make_unique<OperatorApiComponent>(node);
});

} // namespace

} // namespace almondmill
