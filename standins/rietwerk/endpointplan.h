#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill::standin::rietwerk {

/// Identity and behaviour of an endpoint stand-in.
struct EndpointPlan
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string listen = "127.0.0.1:0"; ///< "IP:port" to serve on.
    std::string announced;              ///< Address in its registration; the bound one if empty.
    std::uint32_t slots = 6;
    std::chrono::milliseconds work{30}; ///< Processing time, for engines until the first event.
    std::chrono::milliseconds heartbeat{1200}; ///< Interval between writes of its registration.

    /// Ratio of requests, from 0 to 1, that are refused and begin a pause of up to `maxPause`.
    double pauseRatio = 0;
    std::chrono::milliseconds maxPause{2500};

    std::string model; ///< Model that an engine serves; empty for a plain service.
    std::uint64_t weightsVersion = 1;
    std::chrono::milliseconds eventGap{5};   ///< Interval between events of a stream.
    std::chrono::milliseconds loadTime{630}; ///< Time to load other weights.
};

/// Faults of an endpoint, each with the ratio of requests, from 0 to 1, that it affects.
struct EndpointFaults
{
    double failedRatio = 0;     ///< Executed and answered with status 500.
    double lostAnswerRatio = 0; ///< Executed; the connection is reset before the answer.
    double cutAnswerRatio = 0;  ///< Executed; the connection is reset within the answer.
};

} // namespace almondmill::standin::rietwerk
