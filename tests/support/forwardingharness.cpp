#include "support/forwardingharness.h"

#include "support/caller.h"
#include "support/loopback.h"

#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/platformadapter.h"

#include <boost/asio/post.hpp>

#include <future>

namespace almondmill::test {

namespace {

constexpr const char *CallersPort = ":8100";

ForwarderSettings settingsFor(const std::string &address)
{
    ForwarderSettings settings;
    settings.name = "router-1";
    settings.dataCentre = "dc-1";
    settings.adapter = "rietwerk";
    settings.callersListen = address;
    return settings;
}

Route routeOf(const std::string &name, RetrySafety retrySafety, std::uint32_t attempts)
{
    Route route;
    route.name = name;
    route.host = "h";
    route.pathPrefix = "/" + name + "/";
    route.retrySafety = retrySafety;
    route.timeout = std::chrono::seconds(20);
    route.targetLatency = std::chrono::seconds(5);
    route.targetEventGap = std::chrono::seconds(2);
    route.priority = 3;
    route.shares = {{name, 1}};
    route.maxAttempts = attempts;
    return route;
}

} // namespace

ForwardingHarness::ForwardingHarness()
    : m_url("http://" + nextLoopbackAddress() + CallersPort)
    , m_work(m_loop.get_executor())
    , m_context(m_loop, settingsFor(m_url.substr(7)), PlatformAdapterRegistry::create("rietwerk"))
    , m_planner(m_context)
    , m_forwarder(m_context, m_planner)
    , m_listener(m_context, m_forwarder)
{
    m_listener.start();
    m_thread = std::thread([this] { m_loop.run(); });
}

ForwardingHarness::~ForwardingHarness()
{
    m_loop.stop();
    m_thread.join();
}

void ForwardingHarness::configure(RoutingConfiguration configuration)
{
    m_context.table.publish(std::make_shared<const RoutingTable>(std::move(configuration)));
}

void ForwardingHarness::addEndpoint(const std::string &id, const std::string &service,
                                    const std::string &address, std::uint64_t weightsVersion)
{
    Registration entry;
    entry.id = id;
    entry.service = service;
    entry.address = address;
    entry.dataCentre = "dc-1";
    entry.slots = 4;
    if (weightsVersion != 0)
        entry.models = {{"m", weightsVersion}};
    onLoop([&](ForwardingContext &context) { context.directory.put(entry); });
}

void ForwardingHarness::beginDraining(std::chrono::milliseconds ago)
{
    onLoop([=](ForwardingContext &context) {
        const auto startedAt = std::chrono::steady_clock::now() - ago;
        context.plannedStop.emplace(startedAt, startedAt + context.settings.shutdownGrace);
    });
}

void ForwardingHarness::stopListening(const std::function<void()> &meanwhile)
{
    onLoop([&](ForwardingContext &) {
        meanwhile();
        m_listener.stopAccepting();
        m_listener.closeIdle();
    });
}

void ForwardingHarness::onLoop(const std::function<void(ForwardingContext &)> &task)
{
    std::promise<void> done;
    boost::asio::post(m_loop, [&] {
        task(m_context);
        done.set_value();
    });
    done.get_future().wait();
}

RoutingConfiguration oneRouteOfEachKind()
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes = {routeOf("once", RetrySafety::AtMostOnce, 1),
                            routeOf("any", RetrySafety::Repeatable, 2),
                            routeOf("stream", RetrySafety::Stream, 1),
                            routeOf("resume", RetrySafety::ResumableStream, 2)};
    for (const Route &route : configuration.routes) {
        RoutedService service;
        service.name = route.name;
        configuration.services.push_back(service);
    }
    configuration.keysRequired = true;
    configuration.accounts = {{"open", {"k1"}, std::nullopt, false}, {"walled", {"k2"}, 1, true}};
    return configuration;
}

std::string requestText(const std::string &method, const std::string &target,
                        const std::string &moreHeaders, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n";
    if (moreHeaders.find("Authorization") == std::string::npos)
        text += "Authorization: Bearer k1\r\n";
    text += "Connection: close\r\n" + moreHeaders;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

std::string sendRequest(const ForwardingHarness &harness, const std::string &request)
{
    const RawCaller caller(harness.url());
    caller.send(request);
    return caller.readToEnd();
}

std::string signedAnswer(const std::string &call, const std::string &statusLine,
                         const std::string &body, const std::string &moreHeaders)
{
    return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + headerOf(call, "Request-Id")
           + "\r\nServer-Signature: s1\r\n" + moreHeaders
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string headerOf(const std::string &message, const std::string &name)
{
    const std::string head = message.substr(0, message.find("\r\n\r\n"));
    const auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 4;
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace almondmill::test
