#pragma once

#include "almondmill/forward/promptrequest.h"
#include "almondmill/http/httphead.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// A caller's request, decoded. Method, target and body are as they came.
struct CallerRequest
{
    std::string id; ///< Empty when the caller sent none.
    std::string method;
    std::string target;
    std::string host;
    std::string key; ///< API key; empty when there is none. Never passed on.
    std::optional<std::chrono::milliseconds> timeLeft; ///< That the caller will wait.
    std::optional<PromptRequest> prompt;
    std::optional<std::uint64_t> resumeAfter; ///< Last event that the caller has.
    HttpFields forwarded;                     ///< Fields that go on to the endpoint as they are.
    std::string body;

    /// The target without its query.
    std::string_view path() const;
};

} // namespace almondmill
