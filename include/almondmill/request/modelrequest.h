#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// What the router reads of a completion request; the body itself goes on unchanged.
struct ModelRequest
{
    std::string model;
    std::string prompt; ///< The prompt, or all messages one after another, for prefix keys.
    bool stream = false;

    /// Whether the same request gives the same tokens at any endpoint (temperature zero).
    bool deterministic = false;
};

/// Reads a body. Throws RefusedError with status 400 when it is not such a request.
ModelRequest parseModelRequest(const std::string &body);

} // namespace almondmill
