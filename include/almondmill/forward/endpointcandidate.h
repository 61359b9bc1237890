#pragma once

#include "almondmill/peers/endpointload.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// What is known of one endpoint when a request is placed.
struct EndpointCandidate
{
    std::uint64_t idHash = 0; ///< The same at every router.
    std::uint32_t slots = 1;  ///< Requests that it runs at once.
    double memoryTokens = 0;  ///< Of an engine: running requests and cached parts share it.
    EndpointLoad load;        ///< Of this router now, and of the others as they told last.
    std::chrono::microseconds latency{0}; ///< Smoothed; zero while unknown.
    double failureShare = 0;              ///< Of recent requests.
    bool isAvoided = false;               ///< Silent or full a moment ago.
    bool isLoading = false;               ///< Weights; it turns requests away meanwhile.
    bool isLocal = false;                 ///< In this router's data centre.
    bool hasSharedParts = false;          ///< The request's shared parts were sent there last.
    bool canFetchParts = false;           ///< From where they are.
    bool hasOldWeights = false;           ///< So old that answers made with them are worth less.
};

} // namespace almondmill
