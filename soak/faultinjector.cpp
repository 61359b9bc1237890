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

/// Of a link that is slow.
constexpr milliseconds LinkDelay{150};

/// Of a store that is slow; more than routers wait for some of its answers.
constexpr milliseconds StoreDelay{700};

constexpr milliseconds EndCheck{20};

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
    case LinkFault::SilentToTarget:
        link.setToTarget({true, {}});
        break;
    case LinkFault::SilentToCaller:
        link.setToCaller({true, {}});
        break;
    case LinkFault::SilentBoth:
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
    case StoreFault::Silent:
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
        return self.m_routers.kill(fault.router, fault.downFor);
    }
    Awaitable operator()(const StopRouter &fault) const
    {
        return self.m_routers.stop(fault.router);
    }
    Awaitable operator()(const PauseRouter &fault) const
    {
        return self.m_routers.pause(fault.router, fault.lasts);
    }
    Awaitable operator()(const ReloadRouter &fault) const
    {
        self.m_routers.reload(fault.router);
        co_return;
    }
    Awaitable operator()(const KillAllRouters &fault) const { return self.killAll(fault); }
    Awaitable operator()(const DisturbStoreLink &fault) const
    {
        return self.disturb(self.m_routers.storeLink(fault.router), fault.fault, fault.lasts,
                            Disturbance::What::Router, routerName(fault.router));
    }
    Awaitable operator()(const DisturbCallers &fault) const
    {
        return self.disturb(self.m_routers.callersLink(fault.router), fault.fault, fault.lasts,
                            Disturbance::What::Router, routerName(fault.router));
    }
    Awaitable operator()(const DisturbEndpoint &fault) const
    {
        return self.disturb(self.m_endpoints.link(fault.endpoint), fault.fault, fault.lasts,
                            Disturbance::What::Endpoint, self.m_endpoints.name(fault.endpoint));
    }
    Awaitable operator()(const DisturbStore &fault) const { return self.disturbStore(fault); }
    Awaitable operator()(const CrashEndpoint &fault) const
    {
        return self.m_endpoints.crash(fault.endpoint, fault.downFor, fault.sameId,
                                      fault.otherService);
    }
    Awaitable operator()(const ReplaceEndpoint &fault) const
    {
        return self.m_endpoints.replace(fault.endpoint, fault.servesOn);
    }
    Awaitable operator()(const SpoilEndpoint &fault) const
    {
        return self.m_endpoints.spoil(fault.endpoint, fault.share, fault.lasts);
    }
    Awaitable operator()(const ChangeConfiguration &fault) const
    {
        self.m_operator.change(fault.step, steadyNow());
        co_return;
    }
    Awaitable operator()(const NameWeights &) const
    {
        self.m_operator.nameWeights(steadyNow());
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
    for (const PlannedFault &planned : plan) {
        const auto wait =
                std::chrono::duration_cast<milliseconds>(begun + planned.at - steadyNow());
        if (wait.count() > 0)
            co_await sleepFor(m_loop, wait);
        std::cout << "at " << planned.at.count() << " ms: " << describe(planned.fault) << std::endl;
        ++m_active;
        standin::spawn(m_loop, carryOut(planned.fault));
    }
    while (m_active != 0)
        co_await sleepFor(m_loop, EndCheck);
}

FaultInjector::Awaitable FaultInjector::carryOut(Fault fault)
{
    co_await std::visit(Visitor{*this}, fault);
    --m_active;
}

FaultInjector::Awaitable FaultInjector::disturb(FaultProxy &link, LinkFault fault,
                                                milliseconds lasts, Disturbance::What what,
                                                std::string name)
{
    const auto disturbance = m_history.beginDisturbance(what, name, steadyNow());
    apply(link, fault);
    if (fault != LinkFault::Reset)
        co_await sleepFor(m_loop, lasts);
    link.heal();
    m_history.endDisturbance(disturbance, steadyNow());
}

FaultInjector::Awaitable FaultInjector::disturbStore(DisturbStore fault)
{
    const auto disturbance =
            m_history.beginDisturbance(Disturbance::What::Everything, "store", steadyNow());
    if (fault.fault == StoreFault::ForgetHistory) {
        m_store.store().forgetHistory();
    } else {
        m_store.setFault(storeFaultOf(fault.fault), StoreDelay);
        co_await sleepFor(m_loop, fault.lasts);
        m_store.setFault(MetadataServer::Fault::None);
    }
    m_history.endDisturbance(disturbance, steadyNow());
}

FaultInjector::Awaitable FaultInjector::killAll(KillAllRouters fault)
{
    for (std::size_t router = 1; router < m_routers.size(); ++router) {
        ++m_active;
        standin::spawn(m_loop, carryOut(KillRouter{router, fault.downFor}));
    }
    co_await m_routers.kill(0, fault.downFor);
}

} // namespace almondmill::soak
