#pragma once

#include "almondmill/orders/engineorder.h"
#include "almondmill/orders/enginestatus.h"

#include <chrono>
#include <optional>
#include <string>

namespace almondmill {

/// Status of engines and orders to them. Each call blocks for at most its timeout.
class EngineControl
{
public:
    virtual ~EngineControl() = default;

    /// Nothing when the engine gave no answer.
    virtual std::optional<EngineStatus> status(const std::string &address,
                                               std::chrono::milliseconds timeout) = 0;

    virtual OrderResult order(const std::string &address, const EngineOrder &order,
                              std::chrono::milliseconds timeout) = 0;
};

} // namespace almondmill
