#pragma once

#include "almondmill/directory/softwarehash.h"
#include "almondmill/forward/promptrequest.h"
#include "almondmill/http/httphead.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// A decoded request of a caller. Method, target and body are unchanged from what was received.
struct CallerRequest
{
    std::string id; ///< Empty when the caller sent none.
    std::string method;
    std::string target;
    std::string host;
    std::string apiKey; ///< API key; empty when there is none. Never forwarded to an endpoint.
    std::optional<std::chrono::milliseconds> timeLeft; ///< How long the caller will still wait.
    std::optional<PromptRequest> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Id of the last event that the caller received.
    std::string streamId; ///< Id of the request that began the stream: this one, or an earlier one.
    /// Software at which the stream began; empty while it may begin anywhere.
    std::optional<SoftwareHash> software;
    HttpFields forwardedFields; ///< Header fields forwarded to the endpoint unchanged.
    std::string body;
    bool acceptsChunks = true; ///< The caller can read chunked transfer encoding.

    /// Memory that the request takes.
    std::size_t capacity() const;

    /// The target without its query string.
    std::string_view path() const;
};

} // namespace almondmill
