#pragma once

#include "almondmill/config/priority.h"
#include "almondmill/endpoint/attemptrequest.h"
#include "almondmill/kernel/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

class EndpointSet;
struct ClientAccount;

/// A caller's request after its client account was looked up. Holds the configuration under which
/// it is served.
struct RequestContext
{
    std::shared_ptr<const EndpointSet> endpoints;
    const ClientAccount *account = nullptr; ///< Points into `endpoints`' configuration.
    std::string requestId;
    std::string method;
    std::string path;
    std::string target; ///< Path and query as the caller sent them, still percent-encoded.
    std::vector<HttpHeader> headers; ///< Headers that are forwarded to a plain service.
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< Empty when the caller sent none.
    Priority priority = Priority::High;
    SteadyTime arrived;

    /// Whether the caller closed its side of the connection. To be called only by the thread that
    /// serves the request, while it waits for the response.
    std::function<bool()> callerGone = [] { return false; };
};

} // namespace almondmill
