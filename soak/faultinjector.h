#pragma once

#include "faultplan.h"
#include "soakhistory.h"

#include "almondmill/kernel/time.h"
#include "standins/rietwerk/metadatastore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <vector>

namespace almondmill::standin {
class FaultProxy;
namespace rietwerk {
class MetadataServer;
}
} // namespace almondmill::standin

namespace almondmill::soak {

class EndpointGroup;
class RouterGroup;
class SiteOperator;

/// Injects the faults of a plan from outside the router processes. Belongs to the event loop and
/// must outlive its run.
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &loop, SoakHistory &history, RouterGroup &routers,
                  EndpointGroup &endpoints, standin::rietwerk::MetadataServer &store,
                  SiteOperator &siteOperator);

    /// Injects each fault at its planned time; returns when the last one has ended.
    boost::asio::awaitable<void> run(std::vector<PlannedFault> plan);

private:
    using Awaitable = boost::asio::awaitable<void>;
    struct Visitor;

    /// Contents of the store at one moment.
    struct StoreCopy
    {
        SteadyTime at;
        standin::rietwerk::MetadataStore::Copy contents;
    };

    Awaitable inject(Fault fault);
    Awaitable copyStore();
    Awaitable returnStore(ReturnStore fault);
    Awaitable disturb(standin::FaultProxy &link, LinkFault fault,
                      std::chrono::milliseconds duration, Disturbance::Scope scope,
                      std::string name);
    Awaitable disturbStore(DisturbStore fault);
    Awaitable killAll(KillAllRouters fault);

    boost::asio::io_context &m_loop;
    SoakHistory &m_history;
    RouterGroup &m_routers;
    EndpointGroup &m_endpoints;
    standin::rietwerk::MetadataServer &m_store;
    SiteOperator &m_operator;
    std::size_t m_activeFaults = 0;
    std::deque<StoreCopy> m_copies; ///< The oldest one first.
};

} // namespace almondmill::soak
