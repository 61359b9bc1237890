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
struct ClockTimes;
struct RoutedRequest;

/// Determines from where an engine can fetch the shared parts of a prompt within a cache scope.
class PartSources
{
public:
    /// Cached location of the longest shared part of a prompt.
    struct LongestSharedPart
    {
        std::uint32_t holder = 0; ///< Short hash of the engine it was last sent to; 0 for none.
        bool canFetch = false;    ///< An engine or the KV cache store is expected to have it.
    };

    explicit PartSources(ForwardingContext &context);

    /// Where the longest shared part is cached, if its location is known.
    LongestSharedPart longestSharedPart(const RoutedRequest &placed, const std::string &cacheScope,
                                        std::uint64_t weightsVersion, const ClockTimes &now) const;

    /// Address from which the engine `endpointId` can fetch parts that it has not cached; empty
    /// when there is none.
    std::string addressFor(const RoutedRequest &placed, const std::string &cacheScope,
                           std::uint64_t weightsVersion, const std::string &endpointId,
                           const ClockTimes &now) const;

    /// Records that the prompt is sent to an engine, which caches the parts that it did not have.
    void recordPromptSent(const RoutedRequest &placed, bool hasSharedParts, SteadyTime now);

private:
    /// Where a part is expected to be cached.
    struct Source
    {
        std::string address; ///< "IP:port"; empty for none.
        bool isLikely = false;
    };

    Source sourceOf(const RoutedRequest &placed, const PartLocations::Location &location,
                    std::uint64_t weightsVersion, const std::string &exceptEndpoint,
                    const ClockTimes &now) const;
    std::string engineAddress(const PartLocations::Holder &holder, std::uint64_t weightsVersion,
                              const std::string &model, const std::string &exceptEndpoint,
                              const ClockTimes &now) const;
    /// Address of the engine that is assigned to the prompt's longest shared part.
    std::string assignedEngineAddress(const RoutedRequest &placed, std::uint64_t weightsVersion,
                                      const std::string &exceptEndpoint,
                                      const ClockTimes &now) const;
    /// Whether the engine may be asked for parts with that version of the weights.
    bool canProvide(const EndpointView &view, std::uint64_t weightsVersion,
                    const std::string &model, const ClockTimes &now) const;
    /// Expected time for which engines of the service cache an unused part.
    std::chrono::milliseconds cacheRetention(const RoutedRequest &placed, SteadyTime now) const;

    ForwardingContext &m_context;
    absl::flat_hash_map<std::string, CacheTurnover> m_turnovers; ///< By service.
};

} // namespace almondmill
