#pragma once

#include <boost/asio/awaitable.hpp>

namespace almondmill {

class CallerSession;
class SendPlanner;
struct CallerRequest;
struct ForwardingContext;

/// Forwards callers' requests to the endpoints of their routes.
class RequestForwarder
{
public:
    RequestForwarder(ForwardingContext &context, SendPlanner &planner);

    /// Answers one request. Returns whether the caller's connection can be reused.
    boost::asio::awaitable<bool> serve(CallerRequest &request, CallerSession &session);

private:
    ForwardingContext &m_context;
    SendPlanner &m_planner;
};

} // namespace almondmill
