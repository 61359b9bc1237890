#pragma once

#include "almondmill/forward/performancefigures.h"
#include "almondmill/peers/endpointload.h"

#include <chrono>
#include <cstdint>

namespace almondmill {

/// What this router knows about one endpoint when it places a request.
struct EndpointCandidate
{
    std::uint64_t idHash = 0; ///< Hash of the endpoint's id, the same at every router.
    std::uint32_t slots = 1;  ///< Requests that the endpoint runs concurrently.
    double memoryTokens = 0;  ///< Memory of an engine, for running requests and cached parts.
    EndpointLoad load;        ///< This router's current load and the last one that peers reported.
    double peerRequests = 0;  ///< The part of the open requests that peers reported.
    std::chrono::microseconds latency{0}; ///< Smoothed time to first byte; zero while unknown.
    double prefillTokensPerMs = PerformanceFigures::InitialPrefillTokensPerMs;
    double fetchedTokensPerMs = PerformanceFigures::InitialFetchedTokensPerMs;
    /// Wait for each request beyond the slots, until a running request ends.
    PerformanceFigures::Milliseconds slotWait = PerformanceFigures::InitialSlotWait;
    double failureShare = 0;         ///< Share of recent requests that failed.
    bool isAvoided = false;          ///< In backoff after no answer or a refusal.
    bool isLoading = false;          ///< Loads weights and refuses requests meanwhile.
    bool isRateLimited = false;      ///< Takes a limited number of requests per second.
    bool isLocal = false;            ///< In the data centre of this router.
    bool hasSharedParts = false;     ///< The request's shared parts were last sent there.
    bool canFetchParts = false;      ///< Can fetch the shared parts from an engine or the store.
    bool hasOutdatedWeights = false; ///< Answers with these weights are worth less.
};

} // namespace almondmill
