#pragma once

#include "almondmill/endpoint/attemptrequest.h"

#include <vector>

#include <httplib.h>

namespace almondmill {

/// The headers of a caller's request or of a plain service's answer that go through: all but those
/// of the connection, the API key, and those that the router sets itself.
std::vector<HttpHeader> forwardedHeaders(const httplib::Headers &headers);

} // namespace almondmill
