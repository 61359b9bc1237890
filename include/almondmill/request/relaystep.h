#pragma once

#include "almondmill/request/refusal.h"

#include <chrono>
#include <variant>

namespace almondmill {

/// Send the request to an endpoint that has not been tried.
struct SendToNewEndpoint
{};

/// Request the events after the last one received from the same endpoint, on a new connection.
struct ResumeStream
{
    std::chrono::milliseconds delay{0}; ///< Backoff before the request is sent.
};

/// The caller has the complete response.
struct FinishRelay
{};

/// The relay ends with an explicit error to the caller.
struct FailRelay
{
    Refusal refusal;
};

/// The caller is gone.
struct AbandonRelay
{};

using RelayStep =
        std::variant<SendToNewEndpoint, ResumeStream, FinishRelay, FailRelay, AbandonRelay>;

} // namespace almondmill
