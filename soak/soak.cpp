#include "soak.h"

#include "standins/spawn.h"

#include "callers.h"
#include "endpointgroup.h"
#include "faultinjector.h"
#include "routergroup.h"
#include "siteoperator.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/steadynow.h"
#include "standins/rietwerk/metadataserver.h"
#include "support/loopback.h"

#include <absl/strings/str_cat.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace almondmill::soak {

namespace {

using std::chrono::milliseconds;

/// The routers must be ready within this time after their start.
constexpr std::chrono::seconds StartTimeout{10};

/// The routers must have recovered within this time after the last fault.
constexpr std::chrono::seconds RecoveryTime{12};

/// Least ratio of requests answered with success after the routers have recovered.
constexpr double MinSuccessRatio = 0.95;

/// A timer of this process that expires later than this counts as a disturbance of the whole site.
constexpr milliseconds MaxTimerDelay{100};
constexpr milliseconds MonitorInterval{50};

constexpr unsigned ServiceUnavailable = 503;

/// Era of a store that returns to copies, before it does so first.
constexpr std::uint64_t FirstEra = 1;

constexpr milliseconds EndCheck{20};
constexpr std::size_t PlainEndpoints = 3;
constexpr std::size_t Engines = 4;

std::string storeAddress()
{
    return test::nextLoopbackAddress() + ":8200";
}

/// One soak, from the start of the processes to their end.
class Soak
{
public:
    explicit Soak(const SoakOptions &options)
        : m_options(options)
        , m_store(m_loop, storeAddress())
        , m_operator(m_store.store(), m_history, options.seed)
        , m_endpoints(m_loop, m_history, m_store.store(), m_store.address())
        , m_routers(m_loop, m_history, options.folder)
        , m_injector(m_loop, m_history, m_routers, m_endpoints, m_store, m_operator)
    {}

    SoakReport run()
    {
        if (m_options.storeReturns)
            m_store.store().setEra(FirstEra);
        m_operator.writeInitialState(steadyNow());
        if (!m_options.endpointsPause)
            m_endpoints.disablePauses();
        for (std::size_t number = 1; number <= PlainEndpoints; ++number) {
            m_endpoints.add(absl::StrCat("desk-", number), "desk", false);
            m_endpoints.add(absl::StrCat("annex-", number), "annex", false);
        }
        for (std::size_t number = 1; number <= Engines; ++number)
            m_endpoints.add(absl::StrCat("engine-", number), EngineService, true);
        m_routers.start(m_options.routers, m_store.address());
        m_callers = std::make_unique<Callers>(m_loop, m_routers.callerAddresses(), m_history,
                                              m_options.seed);
        standin::spawn(m_loop, monitor());
        standin::spawn(m_loop, runScenarioAndStop());
        m_loop.run();
        return report();
    }

private:
    boost::asio::awaitable<void> runScenarioAndStop()
    {
        co_await runScenario();
        m_loop.stop();
    }

    boost::asio::awaitable<void> runScenario()
    {
        if (!co_await m_routers.waitUntilReady(steadyNow() + StartTimeout)) {
            m_history.runtimeViolations.push_back(
                    {"start", absl::StrCat("not all routers became ready within ",
                                           StartTimeout.count(), " s")});
            co_return;
        }
        m_callers->start(m_options.callers);
        const SoakSize size{m_routers.size(), m_endpoints.size()};
        std::vector<PlannedFault> faults = m_options.faults;
        if (faults.empty())
            faults = planFaults(m_options.seed, m_options.faultsFor, size);
        if (m_options.storeReturns)
            faults = merged(std::move(faults), planReturns(m_options.seed, m_options.faultsFor));
        co_await m_injector.run(std::move(faults));
        m_lastFaultEnd = steadyNow();
        co_await sleepFor(m_loop, m_options.recovery);
        m_callers->stop();
        while (m_callers->active() != 0)
            co_await sleepFor(m_loop, EndCheck);
        if (m_options.recovery > RecoveryTime)
            checkRecovery();
        m_isShuttingDown = true;
        co_await m_routers.stopAll();
    }

    /// Records violations that can only be detected while the soak runs, and delays of this
    /// process.
    boost::asio::awaitable<void> monitor()
    {
        for (;;) {
            const SteadyTime before = steadyNow();
            co_await sleepFor(m_loop, MonitorInterval);
            const SteadyTime now = steadyNow();
            if (now - before > MonitorInterval + MaxTimerDelay) {
                const auto lag =
                        m_history.beginDisturbance(Disturbance::Scope::Site, "own lag", before);
                m_history.endDisturbance(lag, now);
            }
            if (!m_isShuttingDown)
                m_routers.check(now);
            m_callers->setChoices({m_operator.extraPrefixes(), m_operator.keys()});
        }
    }

    /// Whether the configuration in force allows the request.
    bool isAllowed(const Attempt &attempt) const
    {
        const SiteConfiguration &last = m_history.configurations.back().configuration;
        return last.serviceFor(attempt.path) && last.accountOf(attempt.key);
    }

    void checkRecovery()
    {
        std::size_t eligible = 0;
        std::size_t answered = 0;
        for (const Attempt &attempt : m_history.attempts) {
            if (attempt.sentAt < m_lastFaultEnd + RecoveryTime || !isAllowed(attempt)
                || attempt.callerDisconnected)
                continue;
            ++eligible;
            answered += attempt.status == 200 && attempt.isComplete ? 1 : 0;
        }
        if (eligible == 0
            || static_cast<double>(answered) < MinSuccessRatio * static_cast<double>(eligible))
            m_history.runtimeViolations.push_back(
                    {"recovery",
                     absl::StrCat(answered, " of ", eligible,
                                  " requests served after the recovery time of ",
                                  RecoveryTime.count(), " s, expected a ratio of at least ",
                                  MinSuccessRatio)});
        for (const std::string &engine : m_endpoints.outdatedEngines(m_operator.weightsVersion()))
            m_history.runtimeViolations.push_back(
                    {"weights", engine + " still serves outdated weights at the end"});
    }

    SoakReport report() const
    {
        const SoakBounds bounds;
        SoakReport report;
        report.requestViolations = checkRequests(m_history);
        report.boundViolations = checkBounds(m_history, bounds);
        for (Violation &violation : checkStatements(m_history, bounds))
            report.boundViolations.push_back(std::move(violation));
        report.boundViolations.insert(report.boundViolations.end(),
                                      m_history.runtimeViolations.begin(),
                                      m_history.runtimeViolations.end());
        report.attempts = m_history.attempts.size();
        report.runs = m_history.runs.size();
        report.orders = m_history.orders.size();
        for (const Attempt &attempt : m_history.attempts) {
            report.answered += attempt.status == 200 && attempt.isComplete ? 1 : 0;
            report.refused += attempt.status == ServiceUnavailable ? 1 : 0;
            report.checkedForBounds +=
                    m_history.isRouterUndisturbed(attempt.router, attempt.sentAt, attempt.endedAt,
                                                  bounds.settleTime)
                            ? 1
                            : 0;
        }
        return report;
    }

    SoakOptions m_options;
    boost::asio::io_context m_loop;
    SoakHistory m_history;
    standin::rietwerk::MetadataServer m_store;
    SiteOperator m_operator;
    EndpointGroup m_endpoints;
    RouterGroup m_routers;
    FaultInjector m_injector;
    std::unique_ptr<Callers> m_callers;
    SteadyTime m_lastFaultEnd;
    bool m_isShuttingDown = false;
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).run();
}

} // namespace almondmill::soak
