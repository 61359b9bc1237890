#pragma once

#include "almondmill/request/refusal.h"

#include <chrono>
#include <variant>

namespace almondmill {

/// Send the request to an endpoint that was not tried yet.
struct SendAnew
{};

/// Ask the same endpoint, on a new connection, for the events after the last one relayed.
struct ResumeStream
{
    std::chrono::milliseconds delay{0}; ///< To wait before.
};

/// The caller has the whole answer.
struct FinishRelay
{};

/// The caller gets an explicit error.
struct FailRelay
{
    Refusal refusal;
};

/// The caller is gone.
struct AbandonRelay
{};

using RelayStep = std::variant<SendAnew, ResumeStream, FinishRelay, FailRelay, AbandonRelay>;

} // namespace almondmill
