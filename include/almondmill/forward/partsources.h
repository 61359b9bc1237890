#pragma once

#include "almondmill/forward/cacheturnover.h"
#include "almondmill/forward/partlocations.h"
#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace almondmill {

class EndpointView;
struct ForwardingContext;
struct PlacedRequest;

/// Knows from where the shared parts of a prompt can be fetched, under one cache scope.
class PartSources
{
public:
    /// The longest shared part of a prompt.
    struct Longest
    {
        std::uint32_t holder = 0; ///< Short hash of the engine it was sent to last; zero for none.
        bool canFetch = false;    ///< Some engine or the store of kept KV cache should have it.
    };

    explicit PartSources(ForwardingContext &context);

    Longest longest(const PlacedRequest &placed, const std::string &cacheScope,
                    std::uint64_t weightsVersion, SteadyTime now) const;

    /// Address to fetch from what the engine `endpointId` lacks; empty when there is none.
    std::string addressFor(const PlacedRequest &placed, const std::string &cacheScope,
                           std::uint64_t weightsVersion, const std::string &endpointId,
                           SteadyTime now) const;

    /// The prompt is sent to an engine, which takes in what it does not have.
    void sent(const PlacedRequest &placed, bool hasSharedParts, SteadyTime now);

private:
    /// Where a part should be.
    struct Source
    {
        std::string address; ///< Empty for none.
        bool isLikely = false;
    };

    Source sourceOf(const PlacedRequest &placed, const PartLocations::Location &location,
                    std::uint64_t weightsVersion, const std::string &exceptEndpoint,
                    SteadyTime now) const;
    std::string engineAddress(const PartLocations::Holder &holder, std::uint64_t weightsVersion,
                              const std::string &model, const std::string &exceptEndpoint,
                              SteadyTime now) const;
    /// Address of the engine that routers send a new part to first.
    std::string homeAddress(const PlacedRequest &placed, std::uint64_t weightsVersion,
                            const std::string &exceptEndpoint, SteadyTime now) const;
    std::chrono::milliseconds cacheLifetime(const PlacedRequest &placed, SteadyTime now) const;

    ForwardingContext &m_context;
    absl::flat_hash_map<std::string, CacheTurnover> m_turnovers; ///< By service.
};

} // namespace almondmill
