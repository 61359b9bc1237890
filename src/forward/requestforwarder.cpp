#include "almondmill/forward/requestforwarder.h"

#include "forwardedrequest.h"

namespace almondmill {

RequestForwarder::RequestForwarder(ForwardingContext &context, SendPlanner &planner)
    : m_context(context)
    , m_planner(planner)
{}

boost::asio::awaitable<bool> RequestForwarder::serve(CallerRequest &request, CallerSession &session)
{
    ForwardedRequest forwarded(m_context, m_planner, request, session);
    co_return co_await forwarded.run();
}

} // namespace almondmill
