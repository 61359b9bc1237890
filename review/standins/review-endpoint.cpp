// The project's stand-in for an endpoint of the platform, with times and cache use in its output:
// one line for each request that it runs and each order that it accepts. SIGUSR1 ends its
// heartbeats; it continues to serve until SIGTERM, which ends it like a crash. With --crash-part it
// crashes at each request with that prompt part and comes back after --down-ms with another id.

#include "timestamp.h"

#include "spawn.h"

#include "almondmill/http/asyncsleep.h"

#include "rietwerk/answertext.h"
#include "rietwerk/endpointobserver.h"
#include "rietwerk/registeredendpoint.h"

#include <CLI/CLI.hpp>

#include <absl/strings/str_split.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace almondmill::standin;
using namespace almondmill::standin::rietwerk;
using almondmill::review::unixMs;

/// Prints what the endpoint does, and which prompt parts a request finds in the engine's cache.
class Recorder : public EndpointObserver
{
public:
    /// Calls `onCrash` when a request with the prompt part `crashPart` begins.
    Recorder(std::string crashPart, std::function<void()> onCrash)
        : m_crashPart(std::move(crashPart))
        , m_onCrash(std::move(onCrash))
    {}

    void requestBegan(const EndpointPlan &endpoint, const HttpRequest &request,
                      std::uint64_t weightsVersion) override
    {
        const std::string account = headerOf(request, "Tenant");
        std::cout << "time_ms=" << unixMs() << " endpoint=" << endpoint.id
                  << " runs=" << headerOf(request, "Request-Id") << " account=" << account
                  << " weights=" << weightsVersion << " scope=" << headerOf(request, "Cache-Salt")
                  << " reuses=" << recordParts(request, account) << std::endl;
        const std::string parts = headerOf(request, "Prompt-Prefix");
        if (!m_crashPart.empty() && parts.find(m_crashPart + ":") != std::string::npos)
            m_onCrash();
    }

    void orderTaken(const EndpointPlan &endpoint, const TakenOrder &order) override
    {
        std::cout << "time_ms=" << unixMs() << " endpoint=" << endpoint.id
                  << " order_version=" << order.version << " holder=" << order.holder
                  << " fencing=" << order.fencing << std::endl;
    }

private:
    /// Adds the prompt's parts to the cache. Returns those that were there, as
    /// "PART/ACCOUNT-THAT-MADE-IT", separated by commas.
    std::string recordParts(const HttpRequest &request, const std::string &account)
    {
        std::string reused;
        const std::string scope = headerOf(request, "Cache-Salt");
        for (const std::string &part : std::vector<std::string>(
                     absl::StrSplit(headerOf(request, "Prompt-Prefix"), ',', absl::SkipEmpty()))) {
            const auto [entry, isNew] = m_makers.try_emplace({scope, part}, account);
            if (!isNew)
                reused += (reused.empty() ? "" : ",") + part + "/" + entry->second;
        }
        return reused;
    }

    /// The account whose request made a part, by the scope and the part.
    std::map<std::pair<std::string, std::string>, std::string> m_makers;
    std::string m_crashPart;
    std::function<void()> m_onCrash;
};

/// The incarnations of one endpoint, one after the other. Used only on the event loop.
class Incarnations
{
public:
    Incarnations(boost::asio::io_context &loop, EndpointPlan plan, std::string store,
                 const std::string &crashPart, std::chrono::milliseconds downTime)
        : m_loop(loop)
        , m_plan(std::move(plan))
        , m_id(m_plan.id)
        , m_store(std::move(store))
        , m_downTime(downTime)
        , m_recorder(crashPart, [this] { spawn(m_loop, crashAndReturn()); })
    {
        start();
    }

    RegisteredEndpoint &current() { return *m_started.back(); }

    /// Ends the heartbeats at each signal.
    void stopHeartbeatsAt(boost::asio::signal_set &signals)
    {
        signals.async_wait([&](const boost::system::error_code &error, int) {
            if (error)
                return;
            current().stopHeartbeats();
            stopHeartbeatsAt(signals);
        });
    }

private:
    void start()
    {
        m_started.push_back(
                std::make_unique<RegisteredEndpoint>(m_loop, m_plan, m_store, m_recorder));
    }

    /// The engine crashes as it begins to write the answer.
    boost::asio::awaitable<void> crashAndReturn()
    {
        co_await almondmill::sleepFor(m_loop, m_plan.work);
        if (!current().isAlive())
            co_return;
        current().crash();
        std::cout << "time_ms=" << unixMs() << " endpoint=" << m_plan.id << " crashed" << std::endl;
        co_await almondmill::sleepFor(m_loop, m_downTime);
        m_plan.id = m_id + "-" + std::to_string(m_started.size() + 1);
        start();
    }

    boost::asio::io_context &m_loop;
    EndpointPlan m_plan;
    std::string m_id;
    std::string m_store;
    std::chrono::milliseconds m_downTime;
    Recorder m_recorder;
    /// Crashed ones stay, since their coroutines may still run.
    std::vector<std::unique_ptr<RegisteredEndpoint>> m_started;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for an endpoint of the platform that prints times");
    EndpointPlan plan;
    std::string store;
    std::int64_t workMs = plan.work.count();
    std::int64_t loadMs = plan.loadTime.count();
    std::string crashPart;
    std::int64_t downMs = 2000;
    app.add_option("--id", plan.id, "id of this incarnation")->required();
    app.add_option("--service", plan.service, "service that the endpoint belongs to")->required();
    app.add_option("--store", store, "IP:port of the metadata store")->required();
    app.add_option("--data-centre", plan.dataCentre, "data centre of the endpoint")->required();
    app.add_option("--listen", plan.listen, "IP:port to serve on");
    app.add_option("--slots", plan.slots, "number of requests that run concurrently");
    app.add_option("--work-ms", workMs, "processing time of a request, ms");
    app.add_option("--load-ms", loadMs, "time to load other weights, ms");
    app.add_option("--model", plan.model, "model served; empty for a plain service");
    app.add_option("--crash-part", crashPart, "prompt part at which the engine crashes");
    app.add_option("--down-ms", downMs, "time until it is back after a crash, ms");
    CLI11_PARSE(app, argc, argv);
    plan.work = std::chrono::milliseconds(workMs);
    plan.loadTime = std::chrono::milliseconds(loadMs);

    boost::asio::io_context loop;
    Incarnations endpoint(loop, plan, store, crashPart, std::chrono::milliseconds(downMs));
    boost::asio::signal_set beats(loop, SIGUSR1);
    endpoint.stopHeartbeatsAt(beats);
    boost::asio::signal_set ends(loop, SIGTERM, SIGINT);
    ends.async_wait([&](const boost::system::error_code &, int) {
        endpoint.current().crash();
        std::cout << "time_ms=" << unixMs() << " endpoint=" << plan.id << " ended" << std::endl;
        std::_Exit(0);
    });
    loop.run();
    return 0;
}
