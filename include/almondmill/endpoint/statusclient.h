#pragma once

#include "almondmill/endpoint/endpointstatus.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Asks the endpoint at "IP:port" for its status on a connection just opened, so that one that went
/// silent can't hide a live endpoint. Blocks for at most about twice the timeout; nothing when
/// there was no answer that can be used.
std::optional<EndpointStatus> fetchStatus(const std::string &address,
                                          std::chrono::milliseconds timeout);

} // namespace almondmill
