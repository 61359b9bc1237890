#include "faultinjector.h"

#include "standins/spawn.h"

#include "endpointgroup.h"
#include "routergroup.h"
#include "siteoperator.h"

#include "almondmill/http/asyncsleep.h"
#include "almondmill/kernel/steadynow.h"
#include "standins/faultproxy.h"
#include "standins/rietwerk/metadataserver.h"

#include <iostream>

namespace almondmill::soak {

using standin::FaultProxy;
using standin::rietwerk::MetadataServer;
using std::chrono::milliseconds;

namespace {

/// Added to each piece of data on a slow link.
constexpr milliseconds LinkDelay{150};

/// Answer delay of a slow store; exceeds some of the routers' timeouts for store calls.
constexpr milliseconds StoreDelay{700};

constexpr milliseconds EndCheck{20};

/// Interval between copies of the store, and how many are kept.
constexpr milliseconds CopyInterval{250};
constexpr std::size_t MaxCopies = 40;

/// After a return endpoints have written their entries again within this time.
constexpr milliseconds HeartbeatsTime{2500};

void apply(FaultProxy &link, LinkFault fault)
{
    switch (fault) {
    case LinkFault::Reset:
        link.resetAll();
        break;
    case LinkFault::Delay:
        link.setToTarget({false, LinkDelay});
        link.setToCaller({false, LinkDelay});
        break;
    case LinkFault::StallToTarget:
        link.setToTarget({true, {}});
        break;
    case LinkFault::StallToCaller:
        link.setToCaller({true, {}});
        break;
    case LinkFault::StallBoth:
        link.setToTarget({true, {}});
        link.setToCaller({true, {}});
        break;
    }
}

MetadataServer::Fault storeFaultOf(StoreFault fault)
{
    switch (fault) {
    case StoreFault::Busy:
        return MetadataServer::Fault::Busy;
    case StoreFault::Unresponsive:
        return MetadataServer::Fault::Silent;
    case StoreFault::Slow:
        return MetadataServer::Fault::Slow;
    case StoreFault::LoseAnswer:
        return MetadataServer::Fault::LoseAnswer;
    case StoreFault::ForgetHistory:
        break;
    }
    return MetadataServer::Fault::None;
}

} // namespace

struct FaultInjector::Visitor
{
    FaultInjector &self;

    Awaitable operator()(const KillRouter &fault) const
    {
        return self.m_routers.kill(fault.router, fault.downtime);
    }
    Awaitable operator()(const StopRouter &fault) const
    {
        return self.m_routers.stop(fault.router);
    }
    Awaitable operator()(const PauseRouter &fault) const
    {
        return self.m_routers.pause(fault.router, fault.duration);
    }
    Awaitable operator()(const ReloadRouter &fault) const
    {
        self.m_routers.reload(fault.router);
        co_return;
    }
    Awaitable operator()(const KillAllRouters &fault) const { return self.killAll(fault); }
    Awaitable operator()(const DisturbStoreLink &fault) const
    {
        return self.disturb(self.m_routers.storeLink(fault.router), fault.fault, fault.duration,
                            Disturbance::Scope::Router, routerName(fault.router));
    }
    Awaitable operator()(const DisturbCallerLink &fault) const
    {
        return self.disturb(self.m_routers.callerLink(fault.router), fault.fault, fault.duration,
                            Disturbance::Scope::Router, routerName(fault.router));
    }
    Awaitable operator()(const DisturbEndpoint &fault) const
    {
        return self.disturb(self.m_endpoints.link(fault.endpoint), fault.fault, fault.duration,
                            Disturbance::Scope::Endpoint, self.m_endpoints.name(fault.endpoint));
    }
    Awaitable operator()(const DisturbStore &fault) const { return self.disturbStore(fault); }
    Awaitable operator()(const CrashEndpoint &fault) const
    {
        return self.m_endpoints.crash(fault.endpoint, fault.downtime, fault.sameId,
                                      fault.otherService);
    }
    Awaitable operator()(const ReplaceEndpoint &fault) const
    {
        return self.m_endpoints.replace(fault.endpoint, fault.serveAfterDeadline,
                                        fault.isRegisteredAsDraining);
    }
    Awaitable operator()(const FailRequests &fault) const
    {
        return self.m_endpoints.failRequests(fault.endpoint, fault.ratio, fault.duration);
    }
    Awaitable operator()(const LimitRate &fault) const
    {
        return self.m_endpoints.limitRate(fault.endpoint, fault.perSecond, fault.duration);
    }
    Awaitable operator()(const ChangeConfiguration &fault) const
    {
        self.m_operator.change(fault.step, steadyNow());
        co_return;
    }
    Awaitable operator()(const ReturnStore &fault) const { return self.returnStore(fault); }
    Awaitable operator()(const PublishWeights &) const
    {
        self.m_operator.publishWeights(steadyNow());
        self.m_endpoints.setWeightsVersion(self.m_operator.weightsVersion());
        co_return;
    }
};

FaultInjector::FaultInjector(boost::asio::io_context &loop, SoakHistory &history,
                             RouterGroup &routers, EndpointGroup &endpoints, MetadataServer &store,
                             SiteOperator &siteOperator)
    : m_loop(loop)
    , m_history(history)
    , m_routers(routers)
    , m_endpoints(endpoints)
    , m_store(store)
    , m_operator(siteOperator)
{}

FaultInjector::Awaitable FaultInjector::run(std::vector<PlannedFault> plan)
{
    const SteadyTime begun = steadyNow();
    standin::spawn(m_loop, copyStore());
    for (const PlannedFault &planned : plan) {
        const auto wait =
                std::chrono::duration_cast<milliseconds>(begun + planned.at - steadyNow());
        if (wait.count() > 0)
            co_await sleepFor(m_loop, wait);
        std::cout << "at " << planned.at.count() << " ms: " << describe(planned.fault) << std::endl;
        ++m_activeFaults;
        standin::spawn(m_loop, inject(planned.fault));
    }
    while (m_activeFaults != 0)
        co_await sleepFor(m_loop, EndCheck);
}

FaultInjector::Awaitable FaultInjector::inject(Fault fault)
{
    co_await std::visit(Visitor{*this}, fault);
    --m_activeFaults;
}

FaultInjector::Awaitable FaultInjector::disturb(FaultProxy &link, LinkFault fault,
                                                milliseconds duration, Disturbance::Scope scope,
                                                std::string name)
{
    const auto disturbance = m_history.beginDisturbance(scope, name, steadyNow());
    apply(link, fault);
    if (fault != LinkFault::Reset)
        co_await sleepFor(m_loop, duration);
    link.heal();
    m_history.endDisturbance(disturbance, steadyNow());
}

FaultInjector::Awaitable FaultInjector::disturbStore(DisturbStore fault)
{
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::Store, "store", steadyNow());
    if (fault.fault == StoreFault::ForgetHistory) {
        m_store.store().forgetHistory();
    } else {
        m_store.setFault(storeFaultOf(fault.fault), StoreDelay);
        co_await sleepFor(m_loop, fault.duration);
        m_store.setFault(MetadataServer::Fault::None);
    }
    m_history.endDisturbance(disturbance, steadyNow());
}

FaultInjector::Awaitable FaultInjector::copyStore()
{
    for (;;) {
        m_copies.push_back({steadyNow(), m_store.store().copy()});
        if (m_copies.size() > MaxCopies)
            m_copies.pop_front();
        co_await sleepFor(m_loop, CopyInterval);
    }
}

FaultInjector::Awaitable FaultInjector::returnStore(ReturnStore fault)
{
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::Scope::Store, "store", steadyNow());
    const SteadyTime now = steadyNow();
    std::size_t chosen = 0;
    while (chosen + 1 < m_copies.size() && m_copies[chosen + 1].at <= now - fault.age)
        ++chosen;
    m_store.store().returnTo(m_copies[chosen].contents, now);
    co_await sleepFor(m_loop, fault.rewriteAfter);
    m_operator.writeAgain(steadyNow());
    co_await sleepFor(m_loop, HeartbeatsTime);
    m_history.endDisturbance(disturbance, steadyNow());
}

FaultInjector::Awaitable FaultInjector::killAll(KillAllRouters fault)
{
    for (std::size_t router = 1; router < m_routers.size(); ++router) {
        ++m_activeFaults;
        standin::spawn(m_loop, inject(KillRouter{router, fault.downtime}));
    }
    co_await m_routers.kill(0, fault.downtime);
}

} // namespace almondmill::soak
