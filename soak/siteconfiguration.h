#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace almondmill::soak {

/// Kinds of request that the soak sends, one route each.
enum class RequestKind { Once, Any, Stream, ResumableStream };

/// Path prefix of a kind's route, such as "/once/".
std::string prefixOf(RequestKind kind);

bool mayRunAgain(RequestKind kind);
bool isStream(RequestKind kind);

/// What the operator of a soak wants: the routes of all kinds, which of two plain services serves
/// them, routes that come and go, and keys that come and go.
struct SiteConfiguration
{
    std::uint64_t version = 1;
    std::string plainService = "desk";   ///< Of the kinds that are no streams: "desk" or "annex".
    std::set<std::string> extraPrefixes; ///< Routes to `plainService` that may run again.
    std::set<std::string> keys{"key-1"}; ///< Of the account "open".

    /// The service that a path leads to; nothing without a route.
    std::optional<std::string> serviceFor(const std::string &path) const;

    /// The account that holds the key; nothing when there is none.
    std::optional<std::string> accountOf(const std::string &key) const;

    /// As the platform's store holds it, a JSON text.
    std::string encode() const;
};

constexpr const char *SoakHost = "soak.example";
constexpr const char *ModelName = "m";
constexpr const char *EngineService = "models";
constexpr const char *WalledKey = "key-walled"; ///< Of an account that shares nothing.

} // namespace almondmill::soak
