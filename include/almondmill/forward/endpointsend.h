#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What the router adds to a request for one attempt at one endpoint.
struct EndpointSend
{
    std::string endpointId; ///< Any other endpoint at that address must not run the request.
    std::chrono::milliseconds timeLeft{0};
    std::string account; ///< Name of the client account; empty on public routes.
    std::optional<std::uint64_t> weightsVersion; ///< That the endpoint must serve.
    std::string cacheScope; ///< Cached parts are found only under the same text; may be empty.
    std::optional<std::uint32_t> enginePriority;
    std::string fetchFrom; ///< "IP:port" of who has the prompt's parts; empty for nobody.
    std::string saveTo;    ///< "IP:port" of the store of kept KV cache; empty for none.
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller has.
};

} // namespace almondmill
