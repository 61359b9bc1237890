#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill::standin::rietwerk {

/// What an endpoint stand-in is and how it behaves.
struct EndpointPlan
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string listen = "127.0.0.1:0"; ///< "IP:port" to serve on.
    std::string announced;              ///< Address in its entry; the one bound when empty.
    std::uint32_t slots = 6;
    std::chrono::milliseconds work{30}; ///< Time of a request, of an engine until its first event.
    std::chrono::milliseconds heartbeat{1200}; ///< Between writes of its entry.

    std::string model; ///< Of an engine; a plain service has none.
    std::uint64_t weightsVersion = 1;
    std::chrono::milliseconds eventGap{5};   ///< Between events of a stream.
    std::chrono::milliseconds loadTime{630}; ///< Of other weights.
};

/// Shares of requests, from zero to one, that an endpoint handles wrongly.
struct EndpointFaults
{
    double failed = 0;     ///< Run and answered with status 500.
    double lostAnswer = 0; ///< Run, and the connection is reset instead of an answer.
    double cutAnswer = 0;  ///< Run, and the connection is reset within the answer.
};

} // namespace almondmill::standin::rietwerk
