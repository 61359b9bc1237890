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

/// Sends calls to the endpoints of a plain service. Each attempt has its own connection and a
/// deadline.
class ServiceCaller
{
public:
    /// Number of endpoints that one call is sent to at most.
    static constexpr unsigned MaxAttempts = 3;

    explicit ServiceCaller(Node &node);

    /// Sends the call at most once. Tries another endpoint only when no byte of the call was sent.
    SendOutcome sendOnce(const RequestContext &context, const std::string &service);

    /// Sends a call that may be repeated. Tries other endpoints until one gives a complete
    /// response.
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
