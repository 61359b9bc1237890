#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace almondmill::soak {

/// Kinds of requests that the soak sends, with one route each.
enum class RequestKind { NonIdempotent, Idempotent, Stream, ResumableStream };

/// Path prefix of a kind's route, such as "/once/".
std::string prefixOf(RequestKind kind);

bool isRetryable(RequestKind kind);
bool isStream(RequestKind kind);

/// Configuration of a soak: the routes of all kinds of requests, the plain service that they lead
/// to, and routes and keys that the operator adds and removes.
struct SiteConfiguration
{
    std::uint64_t version = 1;
    std::string plainService = "desk";   ///< For requests other than streams: "desk" or "annex".
    std::set<std::string> extraPrefixes; ///< Of idempotent routes to `plainService`.
    std::set<std::string> keys{"key-1"}; ///< Of the account "open".

    /// The service that a path is routed to, if any.
    std::optional<std::string> serviceFor(const std::string &path) const;

    /// The account that holds the key, if any.
    std::optional<std::string> accountOf(const std::string &key) const;

    /// The configuration as JSON text, as stored in the platform's store.
    std::string encode() const;
};

constexpr const char *SoakHost = "soak.example";
constexpr const char *ModelName = "m";
constexpr const char *EngineService = "models";
constexpr const char *IsolatedKey = "key-walled"; ///< Of an isolated account.

} // namespace almondmill::soak
