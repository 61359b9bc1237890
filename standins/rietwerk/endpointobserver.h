#pragma once

#include "../httpconnection.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill::standin::rietwerk {

struct EndpointPlan;

/// Order that an engine accepted.
struct TakenOrder
{
    std::string holder;
    std::uint64_t fencing = 0;
    std::uint64_t version = 0; ///< Version of the weights.
};

/// Receives the events of an endpoint stand-in.
class EndpointObserver
{
public:
    virtual ~EndpointObserver() = default;

    /// Called when a request starts to run; `weightsVersion` is zero for plain services.
    virtual void requestBegan(const EndpointPlan &endpoint, const HttpRequest &request,
                              std::uint64_t weightsVersion) = 0;

    /// Called when a request is refused; `pause` is how long no further ones are wanted.
    virtual void requestRefused(const EndpointPlan & /*endpoint*/, const HttpRequest & /*request*/,
                                std::optional<std::chrono::milliseconds> /*pause*/)
    {}

    virtual void orderTaken(const EndpointPlan &endpoint, const TakenOrder &order) = 0;
};

} // namespace almondmill::standin::rietwerk
