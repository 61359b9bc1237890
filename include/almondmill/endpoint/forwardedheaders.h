#pragma once

#include "almondmill/endpoint/attemptrequest.h"

#include <vector>

#include <httplib.h>

namespace almondmill {

/// Returns the headers of a caller's request or of a plain service's answer that are forwarded: all
/// except hop-by-hop headers, the API key and the headers that the router sets itself.
std::vector<HttpHeader> forwardedHeaders(const httplib::Headers &headers);

} // namespace almondmill
