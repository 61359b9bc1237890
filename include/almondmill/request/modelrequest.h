#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// The fields of a completion request that the router reads. The body is forwarded unchanged.
struct ModelRequest
{
    std::string model;
    std::string prompt; ///< The prompt or all messages concatenated, for prefix keys.
    bool stream = false;

    /// Whether every endpoint generates the same tokens for this request (temperature zero).
    bool deterministic = false;
};

/// Parses a body. Throws RefusedError with status 400 when it is not a valid completion request.
ModelRequest parseModelRequest(const std::string &body);

} // namespace almondmill
