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

/// Within which the routers must be ready after their start.
constexpr std::chrono::seconds StartTime{10};

/// Bound of recovery after the last fault.
constexpr std::chrono::seconds RecoveryTime{12};

/// Least share of requests answered with success once the routers have recovered.
constexpr double RecoveredShare = 0.95;

/// How late this process's own timer may be before it counts as a disturbance of everything.
constexpr milliseconds OwnLag{100};
constexpr milliseconds WatchInterval{50};

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
        m_operator.begin(steadyNow());
        for (std::size_t number = 1; number <= PlainEndpoints; ++number) {
            m_endpoints.add(absl::StrCat("desk-", number), "desk", false);
            m_endpoints.add(absl::StrCat("annex-", number), "annex", false);
        }
        for (std::size_t number = 1; number <= Engines; ++number)
            m_endpoints.add(absl::StrCat("engine-", number), EngineService, true);
        m_routers.start(m_options.routers, m_store.address());
        m_callers = std::make_unique<Callers>(m_loop, m_routers.callersAddresses(), m_history,
                                              m_options.seed);
        standin::spawn(m_loop, watch());
        standin::spawn(m_loop, playThenEnd());
        m_loop.run();
        return report();
    }

private:
    boost::asio::awaitable<void> playThenEnd()
    {
        co_await play();
        m_loop.stop();
    }

    boost::asio::awaitable<void> play()
    {
        if (!co_await m_routers.waitUntilReady(steadyNow() + StartTime)) {
            m_history.seen.push_back({"start", "not all routers became ready"});
            co_return;
        }
        m_callers->start(m_options.callers);
        const SoakSize size{m_routers.size(), m_endpoints.size()};
        co_await m_injector.run(planFaults(m_options.seed, m_options.faultsFor, size));
        m_calmSince = steadyNow();
        co_await sleepFor(m_loop, m_options.recovery);
        m_callers->stop();
        while (m_callers->active() != 0)
            co_await sleepFor(m_loop, EndCheck);
        if (m_options.recovery > RecoveryTime)
            checkRecovery();
        m_ending = true;
        co_await m_routers.stopAll();
    }

    /// Notes what only shows while the soak runs, and what this process itself disturbs.
    boost::asio::awaitable<void> watch()
    {
        for (;;) {
            const SteadyTime before = steadyNow();
            co_await sleepFor(m_loop, WatchInterval);
            const SteadyTime now = steadyNow();
            if (now - before > WatchInterval + OwnLag) {
                const auto lag = m_history.beginDisturbance(Disturbance::What::Everything,
                                                            "own lag", before);
                m_history.endDisturbance(lag, now);
            }
            if (!m_ending)
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
        std::size_t asked = 0;
        std::size_t answered = 0;
        for (const Attempt &attempt : m_history.attempts) {
            if (attempt.sentAt < m_calmSince + RecoveryTime || !isAllowed(attempt)
                || attempt.callerLeft)
                continue;
            ++asked;
            answered += attempt.status == 200 && attempt.isWhole ? 1 : 0;
        }
        if (asked == 0
            || static_cast<double>(answered) < RecoveredShare * static_cast<double>(asked))
            m_history.seen.push_back(
                    {"recovery",
                     absl::StrCat(answered, " of ", asked, " requests served later than ",
                                  RecoveryTime.count(), " s after the last fault")});
        for (const std::string &engine : m_endpoints.enginesBehind(m_operator.weightsVersion()))
            m_history.seen.push_back({"weights", engine + " has old weights at the end"});
    }

    SoakReport report() const
    {
        const SoakBounds bounds;
        SoakReport report;
        report.requestViolations = checkRequests(m_history);
        report.boundViolations = checkBounds(m_history, bounds);
        report.boundViolations.insert(report.boundViolations.end(), m_history.seen.begin(),
                                      m_history.seen.end());
        report.attempts = m_history.attempts.size();
        report.runs = m_history.runs.size();
        report.orders = m_history.orders.size();
        for (const Attempt &attempt : m_history.attempts) {
            report.answered += attempt.status == 200 && attempt.isWhole ? 1 : 0;
            report.checkedAtCalm += m_history.isRouterCalm(attempt.router, attempt.sentAt,
                                                           attempt.endedAt, bounds.settle)
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
    SteadyTime m_calmSince;
    bool m_ending = false;
};

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    return Soak(options).run();
}

} // namespace almondmill::soak
