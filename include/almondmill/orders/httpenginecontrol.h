#pragma once

#include "almondmill/orders/enginecontrol.h"

namespace almondmill {

/// Engine control over HTTP: `GET /v1/status` and `POST /v1/orders`, each on a connection of its
/// own.
class HttpEngineControl : public EngineControl
{
public:
    std::optional<EngineStatus> status(const std::string &address,
                                       std::chrono::milliseconds timeout) override;
    OrderResult order(const std::string &address, const EngineOrder &order,
                      std::chrono::milliseconds timeout) override;
};

} // namespace almondmill
