#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// What the engines of a service have in common.
struct EngineTraits
{
    std::uint32_t slots = 1;           ///< Requests that one engine runs at once.
    std::uint64_t memoryTokens = 0;    ///< Tokens of running requests and cached parts.
    std::uint64_t bytesPerToken = 0;   ///< Of KV cache.
    double linkMegabitsPerSecond = 0;  ///< For moving KV cache.
    std::uint32_t maxEventReaders = 1; ///< Cache event calls that one engine holds at once.
};

/// A store of KV cache that the engines fill and read.
struct KeptCache
{
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::uint64_t memoryTokens = 0;
    double linkMegabitsPerSecond = 0; ///< For all that is moved in and out.
};

/// A group of endpoints that serve the same requests.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< To one endpoint, from all routers together.
    std::optional<EngineTraits> engine;
    std::optional<KeptCache> keptCache; ///< Then the service takes no requests.
};

} // namespace almondmill
