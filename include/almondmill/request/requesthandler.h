#pragma once

#include "almondmill/kernel/registry.h"

#include <memory>

namespace httplib {
struct Response;
}

namespace almondmill {

struct Node;
struct RequestContext;

/// Serves one kind of request. Implementations register under the name of the kind, "model" or
/// "service".
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Fills in the response, or throws RefusedError.
    virtual void handle(std::shared_ptr<const RequestContext> context,
                        httplib::Response &response) = 0;
};

using RequestHandlerRegistry = Registry<RequestHandler, Node &>;

} // namespace almondmill
