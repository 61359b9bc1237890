#pragma once

#include "almondmill/endpoint/attemptrequest.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// What an endpoint's answer says before its body.
struct AttemptHead
{
    int status = 0;
    std::string contentType;
    std::vector<HttpHeader> headers; ///< Those that go through to the caller of a plain service.
    std::string attemptId;           ///< The attempt that the endpoint says it answers, or empty.
    std::uint64_t incarnation = 0;   ///< Zero when not told.
    std::uint64_t weightsHash = 0;   ///< Zero when not told.
    std::uint32_t load = 0;          ///< Requests open at the endpoint.
    std::uint32_t cachedTokens = 0;  ///< Prompt tokens found in the endpoint's cache.
    bool hasLoad = false;
};

} // namespace almondmill
