#pragma once

#include "almondmill/orders/enginecontrol.h"

namespace almondmill {

/// Engine control over HTTP with `GET /v1/status` and `POST /v1/orders`. Each call uses a new
/// connection.
class HttpEngineControl : public EngineControl
{
public:
    std::optional<EngineStatus> status(const std::string &address,
                                       std::chrono::milliseconds timeout) override;
    OrderResult order(const std::string &address, const EngineOrder &order,
                      std::chrono::milliseconds timeout) override;
};

} // namespace almondmill
