#pragma once

#include "almondmill/claims/sendoutcome.h"
#include "almondmill/endpoint/deadlinewatch.h"
#include "almondmill/endpoint/endpointset.h"

#include <set>
#include <string>

namespace almondmill {

class Counter;
struct Node;
struct RequestContext;

/// Sends calls to the endpoints of a plain service. Each attempt has a connection of its own and a
/// deadline.
class ServiceCaller
{
public:
    /// Most endpoints that one call is tried at.
    static constexpr unsigned MostAttempts = 3;

    explicit ServiceCaller(Node &node);

    /// Sends the call at most once: another endpoint is tried only when no byte had left.
    SendOutcome sendOnce(const RequestContext &context, const std::string &service);

    /// Sends a call that may be repeated until an endpoint gives a whole answer.
    SendOutcome sendRepeatable(const RequestContext &context, const std::string &service);

private:
    using Names = std::set<std::string>;

    EndpointSet::StatePointer choose(const RequestContext &context, const std::string &service,
                                     const Names &excluded);
    SendOutcome attempt(const RequestContext &context, EndpointState &endpoint);

    Node &m_node;
    Counter &m_dropped;
    Counter &m_retries;
    DeadlineWatch m_watch;
};

} // namespace almondmill
