#include "almondmill/forward/forwardingrouter.h"

#include "almondmill/config/textfile.h"
#include "almondmill/forward/endpointview.h"
#include "almondmill/forward/pacerecorder.h"
#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/http/asyncsleep.h"
#include "almondmill/http/supervisedtask.h"
#include "almondmill/kernel/boottime.h"
#include "almondmill/kernel/error.h"
#include "almondmill/observe/eventline.h"
#include "almondmill/observe/eventlog.h"
#include "almondmill/store/countingstore.h"

#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace almondmill {

namespace asio = boost::asio;

namespace {

using std::chrono::milliseconds;

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned NotReady = 503;

/// How often the log is flushed and expired connections are closed.
constexpr milliseconds MaintenanceInterval{500};

/// How often the sums of control traffic are logged.
constexpr milliseconds TrafficReportInterval{5000};

/// The load balancer checks readiness once a second and removes a router after two failed checks;
/// draining waits slightly longer than that.
constexpr milliseconds BalancerRemovalDelay{2600};

/// Time reserved at the end of the shutdown grace period for the process to exit.
constexpr milliseconds ExitMargin{400};

/// How often to check whether engines serve outdated weights. Short compared with the time that an
/// engine takes to load weights.
constexpr milliseconds RolloutCheckInterval{100};

/// How often a draining router checks whether its sessions are closed.
constexpr milliseconds DrainCheckInterval{100};

/// Lets the signal in that the process blocked until it is handled.
void unblockReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace

ForwardingRouter::ForwardingRouter(asio::io_context &loop, const ForwarderSettings &settings,
                                   std::string settingsFile)
    : m_loop(loop)
    , m_settingsFile(std::move(settingsFile))
    , m_context(loop, settings, PlatformAdapterRegistry::create(settings.adapter))
    , m_store(std::make_unique<CountingStore>(
              m_context.adapter->makeStore(loop.get_executor(), parseSocketAddress(settings.store)),
              m_context.metrics, m_traffic))
    , m_views(m_context, *m_store,
              [this](std::optional<StoreUpdate::Registrations> registrations) {
                  m_peers.publish(std::move(registrations));
              })
    , m_peers(
              m_context, *m_store, m_traffic,
              [this](const PeerMessage &message) { applyPeerMessage(message); },
              [this](const StoreUpdate &update) { m_views.learn(update); },
              [this](const PartPlacement &placement) {
                  m_planner.learn(placement, std::chrono::steady_clock::now());
              })
    , m_evidenceArchive(loop, *m_store, m_context.partBreakers,
                        {[this] { return m_views.isFirstReader(std::chrono::steady_clock::now()); },
                         [this] { return m_views.isStoreAnswering(); }})
    , m_rollout(m_context, [this] { m_peers.publishSoon(); })
    , m_leader(m_context, *m_store, m_rollout)
    , m_planner(m_context)
    , m_forwarder(m_context, m_planner)
    , m_callers(m_context, m_forwarder)
    , m_readiness(loop, settings.readyListen,
                  [this](const std::string &path) { return readinessReply(path); })
{
    registerGauges();
    if (!settings.operatorsListen.empty()) {
        m_operators = std::make_unique<StatusServer>(
                loop, settings.operatorsListen,
                [this](const std::string &path) { return operatorsReply(path); });
    }
}

ForwardingRouter::~ForwardingRouter() = default;

void ForwardingRouter::run()
{
    EventLine("router.start")
            .add("name", m_context.settings.name)
            .add("data_centre", m_context.settings.dataCentre)
            .add("callers", m_context.settings.callersListen);
    m_views.start();
    m_context.streamOrigins.setView(
            {[this](SteadyTime now) { return m_views.registrations().isFresh(now); },
             [this] { return m_views.registrations().confirm(); }});
    m_peers.start();
    startSupervised(m_loop, "parts.archive", [this] { return m_evidenceArchive.run(); });
    m_callers.start();
    m_readiness.start();
    if (m_operators)
        m_operators->start();
    startSupervised(m_loop, "router.termination", [this] { return awaitTermination(); });
    startSupervised(m_loop, "router.reload", [this] { return awaitReloads(); });
    startSupervised(m_loop, "router.maintenance", [this] { return maintain(); });
    startSupervised(m_loop, "router.rollout", [this] { return watchRollout(); });
    startSupervised(m_loop, "router.traffic", [this] { return reportTraffic(); });
    m_leader.start();
    runSupervised(m_loop);
    m_leader.stop();
    EventLine("router.stop").add("name", m_context.settings.name);
    eventLog().flush();
}

StatusServer::Reply ForwardingRouter::readinessReply(const std::string &path) const
{
    if (path != m_context.adapter->readyPath())
        return {NotFound, ""};
    const bool isReady = m_context.table.snapshot() != nullptr && !m_context.isDraining();
    return {isReady ? Ok : NotReady, ""};
}

void ForwardingRouter::applyPeerMessage(const PeerMessage &message)
{
    m_views.learnConfigurationVersion(message.configuration);
    m_views.learnWeights(message.weights, message.sender);
}

asio::awaitable<void> ForwardingRouter::awaitTermination()
{
    asio::signal_set signals(m_loop, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    EventLine("router.draining").add("sessions", m_callers.openSessions());
    co_await drain();
    m_loop.stop();
}

asio::awaitable<void> ForwardingRouter::awaitReloads()
{
    asio::signal_set signals(m_loop, SIGHUP);
    unblockReloadSignal();
    for (;;) {
        co_await signals.async_wait(asio::use_awaitable);
        reload();
    }
}

void ForwardingRouter::reload()
{
    const std::string &file = m_settingsFile;
    try {
        const auto settings = parseForwarderSettings(readTextFile(file), file);
        // No setting can change while the router runs: its addresses are bound and its bounds are
        // fixed. A reload only validates the file and logs whether the settings are the same.
        EventLine("router.reload").add("file", file).add("same", settings == m_context.settings);
    } catch (const Error &error) {
        EventLine("router.reload_failed").add("file", file).add("reason", error.what());
    }
}

asio::awaitable<void> ForwardingRouter::drain()
{
    const auto startedAt = std::chrono::steady_clock::now();
    const auto end = startedAt + m_context.settings.shutdownGrace - ExitMargin;
    m_context.plannedStop.emplace(startedAt, end);
    m_leader.resign();
    m_context.sendPermits.leave();
    m_peers.announce();
    co_await sleepFor(m_loop, BalancerRemovalDelay);
    m_callers.stopAccepting();
    m_callers.closeIdle();
    while (m_callers.openSessions() != 0 && std::chrono::steady_clock::now() < end) {
        co_await sleepFor(m_loop, DrainCheckInterval);
        m_callers.closeIdle();
    }
    m_callers.recordUnfinished();
}

asio::awaitable<void> ForwardingRouter::watchRollout()
{
    for (;;) {
        co_await sleepFor(m_loop, RolloutCheckInterval);
        const bool needed = m_rollout.detectOutdatedEngines(std::chrono::steady_clock::now());
        m_leader.update(needed && !m_context.isDraining(),
                        m_context.peers.leaderCandidates(m_context.settings.name),
                        m_rollout.lastProgress());
    }
}

asio::awaitable<void> ForwardingRouter::reportTraffic()
{
    for (;;) {
        co_await sleepFor(m_loop, TrafficReportInterval);
        m_traffic.writeEvent();
    }
}

void ForwardingRouter::maintainEndpoint(EndpointView &view, SteadyTime now)
{
    view.connections().closeExpired(now);
    const SteadyTime bootNow = bootTime();
    recordPaceEnd(m_context, view, bootNow);
    const auto withheld = view.availability().takeEndedPause(bootNow);
    if (!withheld)
        return;
    EventLine("endpoint.resumed")
            .add("endpoint", view.id())
            .add("started_at", view.registration().startedAt)
            .add("withheld", *withheld);
}

asio::awaitable<void> ForwardingRouter::maintain()
{
    for (;;) {
        co_await sleepFor(m_loop, MaintenanceInterval);
        const auto now = std::chrono::steady_clock::now();
        for (const auto &[id, view] : m_context.endpoints.all())
            maintainEndpoint(*view, now);
        eventLog().flush();
    }
}

} // namespace almondmill
