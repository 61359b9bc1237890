#include "support/forwardingprocess.h"

#include "soak/siteconfiguration.h"
#include "support/loopback.h"
#include "support/waituntil.h"

#include <boost/asio/post.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <future>

namespace almondmill::test {

namespace {

constexpr const char *Key = "k1";
constexpr std::uint32_t EndpointSlots = 64;
constexpr std::chrono::seconds AnswerTimeout{60};
constexpr int InvalidSettingsExitCode = 2;

/// Era of the store before its first return to a copy.
constexpr std::uint64_t FirstEra = 7;

standin::rietwerk::EndpointPlan endpointPlan(std::size_t number)
{
    standin::rietwerk::EndpointPlan plan;
    plan.id = "desk-" + std::to_string(number);
    plan.service = "desk";
    plan.dataCentre = "dc-1";
    plan.listen = nextLoopbackAddress() + ":9000";
    plan.slots = EndpointSlots;
    plan.work = std::chrono::milliseconds(0);
    return plan;
}

} // namespace

class ForwardingProcess::Observer : public standin::rietwerk::EndpointObserver
{
public:
    void requestBegan(const standin::rietwerk::EndpointPlan &, const standin::HttpRequest &,
                      std::uint64_t) override
    {}
    void orderTaken(const standin::rietwerk::EndpointPlan &,
                    const standin::rietwerk::TakenOrder &) override
    {}
};

ForwardingProcess::ForwardingProcess(const Limits &limits, const ForeignEntries &foreign)
    : m_limits(limits)
    , m_address(nextLoopbackAddress())
    , m_settingsFile("/tmp/almondmill-test-" + m_address + ".toml")
    , m_store(m_loop, nextLoopbackAddress() + ":8200")
    , m_observer(std::make_unique<Observer>())
    , m_work(m_loop.get_executor())
{
    soak::SiteConfiguration configuration;
    configuration.version = 1;
    configuration.keys = {Key};
    const auto now = std::chrono::steady_clock::now();
    m_store.store().put("config", "main", nlohmann::json::parse(configuration.encode()), now);
    if (!foreign.empty())
        m_store.setPageSize(1);
    putUnexpiring(foreign);
    m_store.store().setEra(FirstEra);
    startEndpoint();
    m_thread = std::thread([this] { m_loop.run(); });
    start(true);
}

ForwardingProcess::~ForwardingProcess()
{
    m_process.reset();
    m_loop.stop();
    m_thread.join();
    std::remove(m_settingsFile.c_str());
}

void ForwardingProcess::put(const ForeignEntries &entries)
{
    onLoop([&] { putUnexpiring(entries); });
}

void ForwardingProcess::copyStore()
{
    onLoop([this] { m_copy = m_store.store().copy(); });
}

void ForwardingProcess::returnStoreToCopy()
{
    onLoop([this] { m_store.store().returnTo(m_copy, std::chrono::steady_clock::now()); });
}

void ForwardingProcess::replaceEndpoint()
{
    onLoop([this] {
        m_endpoints.back()->crash();
        startEndpoint();
    });
}

void ForwardingProcess::startEndpoint()
{
    m_endpoints.push_back(std::make_unique<standin::rietwerk::RegisteredEndpoint>(
            m_loop, endpointPlan(m_endpoints.size() + 1), m_store.address(), *m_observer));
}

void ForwardingProcess::onLoop(const std::function<void()> &task)
{
    std::promise<void> done;
    boost::asio::post(m_loop, [&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void ForwardingProcess::putUnexpiring(const ForeignEntries &entries)
{
    const auto later = std::chrono::steady_clock::now() + std::chrono::hours(1);
    for (const ForeignEntry &entry : entries)
        m_store.store().put("servers", entry.name, entry.spec, later);
}

void ForwardingProcess::start(bool withMemoryLimit)
{
    std::ofstream out(m_settingsFile);
    out << "name = \"router-1\"\ndata_centre = \"dc-1\"\n[forwarding]\nadapter = \"rietwerk\"\n"
        << "store = \"" << m_store.address() << "\"\n"
        << "callers_listen = \"" << m_address << ":8100\"\n"
        << "ready_listen = \"" << m_address << ":8101\"\n"
        << "peers_listen = \"" << m_address << ":8103\"\n"
        << "max_descriptors = " << m_limits.descriptors << "\n";
    if (withMemoryLimit)
        out << "max_memory = " << m_limits.memoryMb << "\n";
    out.close();
    m_process = std::make_unique<ChildProcess>(
            "almondmilld", std::vector<std::string>{"--config", m_settingsFile}, "/dev/null");
}

bool ForwardingProcess::waitUntilServing()
{
    return waitUntil([&] {
        // A router without the setting rejects the file. It is started without it, so that the
        // bounds of the tests show what such a router takes.
        if (m_process->hasEnded() && m_process->exitCode() == InvalidSettingsExitCode)
            start(false);
        return request() == 200;
    });
}

int ForwardingProcess::request(std::size_t bodyBytes) const
{
    httplib::Client client(callersUrl());
    client.set_read_timeout(AnswerTimeout);
    const httplib::Headers headers{{"Host", soak::SoakHost},
                                   {"Request-Id", "ordinary"},
                                   {"Authorization", std::string("Bearer ") + Key}};
    const auto result =
            client.Post("/any/ordinary", headers, std::string(bodyBytes, 'o'), "text/plain");
    return result ? result->status : 0;
}

std::string ForwardingProcess::headStart()
{
    return std::string("POST /any/abuse HTTP/1.1\r\nHost: ") + soak::SoakHost
           + "\r\nRequest-Id: abuse\r\nAuthorization: Bearer " + Key + "\r\n";
}

} // namespace almondmill::test
