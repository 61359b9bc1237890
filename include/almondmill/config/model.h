#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

/// A language model that endpoints serve.
struct Model
{
    std::string name;
    std::string weights;                  ///< Version of the weights that endpoints must serve.
    std::uint32_t blockTokens = 2000;     ///< Tokens in one block of an engine's prefix cache.
    std::uint32_t maxConcurrentLoads = 3; ///< Endpoints that may load weights concurrently.
    std::uint32_t maxInFlight = 256;      ///< Requests in flight at one endpoint; more are queued.

    bool operator==(const Model &) const = default;
};

} // namespace almondmill
