#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondmill {

/// Properties shared by all engines of a service.
struct EngineTraits
{
    std::uint32_t slots = 1;          ///< Requests that one engine runs concurrently.
    std::uint64_t memoryTokens = 0;   ///< KV cache capacity, for running requests and cached parts.
    std::uint64_t bytesPerToken = 0;  ///< Size of a token in the KV cache.
    double linkMegabitsPerSecond = 0; ///< For KV cache transfers.
    std::uint32_t maxEventReaders = 1; ///< Concurrent cache event calls to one engine.
};

/// An external store to which engines save KV cache and from which they load it.
struct KvCacheStore
{
    std::string address; ///< "IP:port".
    std::string dataCentre;
    std::uint64_t memoryTokens = 0;
    double linkMegabitsPerSecond = 0; ///< For all transfers in and out together.
};

/// A group of endpoints that serve the same requests.
struct RoutedService
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< To one endpoint, over all routers.
    std::optional<EngineTraits> engine;
    std::optional<KvCacheStore> kvCacheStore; ///< If set, the service takes no requests.
};

} // namespace almondmill
