#pragma once

#include "almondmill/endpoint/attemptrequest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// Status and headers of an endpoint's answer.
struct AttemptHead
{
    int status = 0;
    std::string contentType;
    std::vector<HttpHeader>
            headers;               ///< Headers that are forwarded to the caller of a plain service.
    std::string attemptId;         ///< Attempt id echoed by the endpoint, or empty.
    std::uint64_t incarnation = 0; ///< Zero when not reported.
    std::uint64_t weightsHash = 0; ///< Zero when not reported.
    std::uint32_t load = 0;        ///< Requests in flight at the endpoint.
    std::uint32_t cachedTokens = 0; ///< Prompt tokens found in the endpoint's cache.
    bool hasLoad = false;
};

} // namespace almondmill
