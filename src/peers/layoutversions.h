#pragma once

#include <cstdint>

/// The number in the first field of each message between routers. It tells the kinds of messages
/// apart, and changes with the layout of a kind, so that routers of different releases can run
/// together: messages with an unknown number are ignored. A router that ignores store updates reads
/// the store itself.
namespace almondmill::layout {

inline constexpr std::uint32_t State = 4;
inline constexpr std::uint32_t StoreUpdate = 103;
inline constexpr std::uint32_t Placement = 201;
inline constexpr std::uint32_t PartLookupRequest = 202;
inline constexpr std::uint32_t PartLookupReply = 203;
inline constexpr std::uint32_t Evidence = 301;
inline constexpr std::uint32_t RateLimit = 401;
inline constexpr std::uint32_t PermitRequest = 402;
inline constexpr std::uint32_t PermitReply = 403;
inline constexpr std::uint32_t PermitReturn = 404;
inline constexpr std::uint32_t QuotaQuestion = 411;
inline constexpr std::uint32_t QuotaReply = 412;
inline constexpr std::uint32_t ReachProbe = 413;
inline constexpr std::uint32_t ReachReply = 414;
inline constexpr std::uint32_t Pace = 701;
inline constexpr std::uint32_t StreamOriginReport = 801;
inline constexpr std::uint32_t StreamOriginQuestion = 802;
inline constexpr std::uint32_t StreamOriginReply = 803;

} // namespace almondmill::layout
