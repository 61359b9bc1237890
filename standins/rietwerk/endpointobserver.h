#pragma once

#include "../httpconnection.h"

#include <cstdint>
#include <string>

namespace almondmill::standin::rietwerk {

struct EndpointPlan;

/// An order as an engine took it.
struct TakenOrder
{
    std::string holder;
    std::uint64_t fencing = 0;
    std::uint64_t version = 0; ///< Of the weights.
};

/// Is told what an endpoint stand-in does.
class EndpointObserver
{
public:
    virtual ~EndpointObserver() = default;

    /// A request begins to run; `weightsVersion` is zero at plain services.
    virtual void requestBegan(const EndpointPlan &endpoint, const HttpRequest &request,
                              std::uint64_t weightsVersion) = 0;

    virtual void orderTaken(const EndpointPlan &endpoint, const TakenOrder &order) = 0;
};

} // namespace almondmill::standin::rietwerk
