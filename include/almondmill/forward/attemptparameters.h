#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What the router adds to a request for one attempt at one endpoint.
struct AttemptParameters
{
    std::string endpointId; ///< Another endpoint at that address must not run the request.
    std::chrono::milliseconds timeLeft{0};
    std::string account; ///< Name of the client account; empty on public routes.
    std::optional<std::uint64_t> weightsVersion; ///< Version that the endpoint must serve.
    std::string cacheScope; ///< Requests share cached parts only within a scope; may be empty.
    std::optional<std::uint32_t> enginePriority;
    std::string fetchFrom; ///< "IP:port" of a source of the prompt's parts; empty for none.
    std::string saveTo;    ///< "IP:port" of the KV cache store to save to; empty for none.
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller received.
};

} // namespace almondmill
