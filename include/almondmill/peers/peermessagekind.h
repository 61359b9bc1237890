#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace almondmill {

/// Kinds of messages between routers.
enum class PeerMessageKind {
    State,
    StoreUpdate,
    Placement,
    PartLookup, ///< Requests and replies.
    PartReport, ///< Placements told to the owners of a part in a large fleet.
    Evidence,
    RateLimit,
    Permit,       ///< Requests, replies and returns.
    Quota,        ///< Questions about quotas of accounts, and probes of the issuers' reach.
    Pace,         ///< Limits of endpoints in slow start.
    StreamOrigin, ///< Reports, questions and replies.
    Other,
};

constexpr std::size_t PeerMessageKindCount = static_cast<std::size_t>(PeerMessageKind::Other) + 1;

/// The kind's name in metrics and log lines.
const char *nameOf(PeerMessageKind kind);

/// Layout version of an encoded message, read from its first bytes; nothing when these are not
/// those of a message.
std::optional<std::uint32_t> peekLayout(std::string_view bytes);

/// Kind of an encoded message, by its layout version. Reports to the owners of a part have the
/// layout of placements and are taken for such.
PeerMessageKind peekKind(std::string_view bytes);

} // namespace almondmill
