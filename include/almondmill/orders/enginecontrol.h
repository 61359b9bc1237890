#pragma once

#include "almondmill/orders/engineorder.h"
#include "almondmill/orders/enginestatus.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Interface to the engines: reads their status and sends them orders. Each call blocks for at most
/// its timeout.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Returns nullopt when the engine gave no valid answer.
    virtual std::optional<EngineStatus> status(const std::string &address,
                                               std::chrono::milliseconds timeout) = 0;

    virtual OrderResult order(const std::string &address, const EngineOrder &order,
                              std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
